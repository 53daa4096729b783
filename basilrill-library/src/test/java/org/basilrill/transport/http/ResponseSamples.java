package org.basilrill.transport.http;

import java.util.stream.Stream;

/** Valid and invalid responses of targets, as text in which each character is one byte. Stateless and thread safe. */
final class ResponseSamples {
    static final String OK = "HTTP/1.1 200 OK\r\n";
    static final String LENGTH = "Content-Length: 5\r\n";
    static final String CHUNKED = "Transfer-Encoding: chunked\r\n";
    /** A whole response; all sound ones have this body. */
    static final String SOUND = OK + LENGTH + "\r\nhello";
    /** A response that only one line spoils. */
    static final String BROKEN = OK + LENGTH + "X A: v\r\n\r\nhello";

    private static final String CHUNKS = "5\r\nhello\r\n0\r\n\r\n";

    private ResponseSamples() {}

    static Stream<String> invalidStatusLines() {
        return Stream.of(
                        "HTTP/1.1 000 OK",
                        "HTTP/1.1 099 OK",
                        "HTTP/1.1 20 OK",
                        "HTTP/1.1 2000 OK",
                        "HTTP/1.1 600 OK",
                        "HTTP/1.1 999 OK",
                        "HTTP/1.1 +20 OK",
                        "HTTP/1.1 -20 OK",
                        "HTTP/1.1 2x0 OK",
                        "HTTP/1.1 200OK",
                        "HTTP/1.1 200\tOK",
                        "HTTP/1.1  200 OK",
                        "HTTP/1.1\t200 OK",
                        "HTTP/1.1 200 O\0K",
                        "HTTP/1.1 200 O\rK",
                        "HTTP/1.1",
                        " HTTP/1.1 200 OK",
                        "xHTTP/1.1 200 OK",
                        "http/1.1 200 OK",
                        "HTTP/1 200 OK",
                        "HTTP/1.10 200 OK",
                        "HTTP/2.0 200 OK",
                        "garbage\r\nHTTP/1.1 200 OK",
                        "\r\nHTTP/1.1 200 OK")
                .map(line -> line + "\r\n" + LENGTH + "\r\nhello");
    }

    /** Returns responses with one invalid line: first, in the middle or last. */
    static Stream<String> invalidFieldLines() {
        return Stream.of(
                        "X A: v",
                        "X-A : v",
                        "X-A\t: v",
                        "X-\0A: v",
                        "X-\u0001A: v",
                        "X-\tA: v",
                        "X-\u007fA: v",
                        "X-(A: v",
                        "X-\u00e9: v",
                        " X-A: v",
                        "\tX-A: v",
                        " folded",
                        ": v",
                        "X-A",
                        "no field",
                        "X-A: \0",
                        "X-A: v\rv",
                        "X-A: v\r",
                        "X-A: \u0001",
                        "X-A: v\u007f",
                        "\r",
                        "Content-Length : 4",
                        "Content Length: 4",
                        "Transfer Encoding: chunked")
                .flatMap(line -> Stream.of(
                        OK + line + "\r\n" + LENGTH + "X-B: b\r\n\r\nhello",
                        OK + LENGTH + line + "\r\nX-B: b\r\n\r\nhello",
                        OK + "X-B: b\r\n" + LENGTH + line + "\r\n\r\nhello"));
    }

    static Stream<String> invalidBodyLengths() {
        Stream<String> lengths = Stream.of(
                        "+5", "-5", "0x5", "5h", "5 5", "", "5, 5", "5,", "five", "5.0", "9223372036854775808")
                .map(length -> "Content-Length: " + length + "\r\n");
        Stream<String> withoutChunks = Stream.of(LENGTH + LENGTH, LENGTH + "Content-Length: 4\r\n");
        Stream<String> codings = Stream.of(
                        CHUNKED + LENGTH,
                        LENGTH + CHUNKED,
                        CHUNKED + CHUNKED,
                        "Transfer-Encoding: chunked, chunked\r\n",
                        "Transfer-Encoding: gzip, chunked\r\n",
                        "Transfer-Encoding: chunked;q=1\r\n",
                        "Transfer-Encoding: gzip\r\n",
                        "Transfer-Encoding: identity\r\n",
                        "Transfer-Encoding: \r\n")
                .map(coding -> OK + coding + "\r\n" + CHUNKS);
        Stream<String> withoutBody = Stream.of(
                "HTTP/1.1 204 No Content\r\n" + LENGTH + "\r\n",
                "HTTP/1.1 204 No Content\r\n" + CHUNKED + "\r\n",
                "HTTP/1.1 304 Not Modified\r\n" + LENGTH + CHUNKED + "\r\n",
                "HTTP/1.1 304 Not Modified\r\nContent-Length: +5\r\n\r\n");
        return Stream.of(
                        Stream.concat(lengths, withoutChunks).map(fields -> OK + fields + "\r\nhello"),
                        codings,
                        withoutBody)
                .flatMap(responses -> responses);
    }

    static Stream<String> invalidInterimResponses() {
        return Stream.of(
                        "HTTP/1.1 103 Early Hints\r\nX A: v\r\n\r\n",
                        "HTTP/1.1 103 Early Hints\r\nX-A: v\0\r\n\r\n",
                        "HTTP/1.1 103 Early Hints\r\n folded\r\n\r\n",
                        "HTTP/1.1\t103 Early Hints\r\n\r\n",
                        "HTTP/1.1 103 Early Hints\r\n" + LENGTH + "\r\n",
                        "HTTP/1.1 103 Early Hints\r\n" + CHUNKED + "\r\n",
                        "HTTP/1.1 099 Early Hints\r\n\r\n")
                .map(interim -> interim + SOUND);
    }

    static Stream<String> invalidHeads() {
        return Stream.of(invalidStatusLines(), invalidFieldLines(), invalidBodyLengths(), invalidInterimResponses())
                .flatMap(responses -> responses);
    }

    /** What follows a sound head that states chunks. */
    static Stream<String> invalidChunks() {
        return Stream.of(
                "+5\r\nhello\r\n0\r\n\r\n",
                "-5\r\nhello\r\n0\r\n\r\n",
                " 5\r\nhello\r\n0\r\n\r\n",
                "5 \r\nhello\r\n0\r\n\r\n",
                "\r\n5\r\nhello\r\n0\r\n\r\n",
                "0x5\r\nhello\r\n0\r\n\r\n",
                "5 5\r\nhello\r\n0\r\n\r\n",
                "5,\r\nhello\r\n0\r\n\r\n",
                "5;a\0\r\nhello\r\n0\r\n\r\n",
                "5;a\rb\r\nhello\r\n0\r\n\r\n",
                "no size\r\nhello\r\n0\r\n\r\n",
                ";a=b\r\n\r\n",
                "8000000000000000\r\nhello\r\n0\r\n\r\n",
                "10000000000000005\r\nhello\r\n0\r\n\r\n",
                "5\r\nhello0\r\n\r\n",
                "5\r\nhello \r\n0\r\n\r\n",
                "5\r\nhello\r\n-0\r\n\r\n",
                "5\r\nhello\r\n+0\r\n\r\n",
                "5\r\nhello\r\n\r\n\r\n",
                "5\r\nhello\r\n0\r\nX A: v\r\n\r\n",
                "5\r\nhello\r\n0\r\nX-A : v\r\n\r\n",
                "5\r\nhello\r\n0\r\nX-\u0001A: v\r\n\r\n",
                "5\r\nhello\r\n0\r\nX-A: \0\r\n\r\n",
                "5\r\nhello\r\n0\r\nX-A: v\r\n folded\r\n\r\n",
                "5\r\nhello\r\n0\r\nno field\r\n\r\n");
    }

    /** Heads, each with its body, that states, chunks or leaves open its length. */
    static Stream<String> soundResponses() {
        return Stream.of(
                SOUND,
                OK + "\r\nhello",
                OK + CHUNKED + "\r\n" + CHUNKS,
                "HTTP/1.0 200 OK\r\n\r\nhello",
                "HTTP/1.0 200 OK\r\n" + LENGTH + "\r\nhello",
                "HTTP/1.1 200 \r\n" + LENGTH + "\r\nhello",
                "HTTP/1.1 200\r\n" + LENGTH + "\r\nhello",
                "HTTP/1.1 200 all \t\u00e9 is well\r\n" + LENGTH + "\r\nhello",
                "HTTP/1.1 200 OK\nContent-Length: 5\nX-A: v\n\nhello",
                "HTTP/1.1 200 OK\nTransfer-Encoding: chunked\n\n5\nhello\n0\nX-A: v\n\n",
                OK + "content-length:5\r\n\r\nhello",
                OK + "Content-Length:  \t 5 \t \r\n\r\nhello",
                OK + "Content-Length: 0005\r\n\r\nhello",
                OK + "transfer-encoding: CHUNKED\r\n\r\n" + CHUNKS,
                OK + "X-A:\r\nX-B: \t \r\n" + LENGTH + "\r\nhello",
                OK + "X-A: \u00e9\u00ff\u0080 a\tb\r\n" + LENGTH + "\r\nhello",
                OK + "!#$%&'*+-.^_`|~09aZ: v\r\n" + LENGTH + "\r\nhello",
                OK + "X-A: a: b: c\r\n" + LENGTH + "\r\nhello",
                OK + "X-A: v\r\n".repeat(63) + LENGTH + "\r\nhello",
                OK + "X-A: " + "v".repeat(8000) + "\r\n" + LENGTH + "\r\nhello",
                OK + CHUNKED
                        + "\r\n2\r\nhe\r\n0003;a=b; c=\"\u00e9 d\" ;e\r\nllo\r\n000\r\nX-A: \u00e9\r\nX-B:\r\n\r\n",
                OK + CHUNKED + "\r\n00000000000000000005\r\nhello\r\n0\r\n\r\n",
                "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 \r\nLink: </a>\r\n\r\n" + SOUND);
    }

    static Stream<String> soundResponsesWithoutBody() {
        return Stream.of(
                "HTTP/1.1 204 No Content\r\nX-A: v\r\n\r\n",
                "HTTP/1.1 204 No Content\r\nContent-Length: 0\r\n\r\n",
                "HTTP/1.1 304 Not Modified\r\nETag: \"a\"\r\n\r\n",
                "HTTP/1.1 304 Not Modified\r\n" + LENGTH + "\r\n",
                "HTTP/1.1 304 Not Modified\r\n" + CHUNKED + "\r\n");
    }
}

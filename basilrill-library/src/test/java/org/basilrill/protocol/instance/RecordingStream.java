package org.basilrill.protocol.instance;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import org.basilrill.protocol.caller.CallerStream;
import org.basilrill.protocol.caller.ResponseHead;

/** Records a response and the last violation of the contract of {@link CallerStream}. Not thread safe. */
final class RecordingStream implements CallerStream {
    private final ByteArrayOutputStream body = new ByteArrayOutputStream();
    private ResponseHead head;
    private int terminations;
    private boolean aborted;
    private String contractViolation = "";

    @Override
    public void start(ResponseHead response) {
        check(head != null, "started twice");
        check(terminations > 0, "started after the end");
        head = response;
    }

    @Override
    public void write(byte[] bytes) {
        check(head == null, "written before the start");
        check(terminations > 0, "written after the end");
        body.writeBytes(bytes);
    }

    @Override
    public void end() {
        check(head == null, "ended before the start");
        terminations++;
    }

    @Override
    public void abort() {
        terminations++;
        aborted = true;
    }

    int terminations() {
        return terminations;
    }

    /** Returns whether the response ended exactly once, without an abort. */
    boolean complete() {
        return terminations == 1 && !aborted;
    }

    boolean aborted() {
        return aborted;
    }

    int status() {
        return head == null ? 0 : head.status();
    }

    ResponseHead head() {
        return head;
    }

    String text() {
        return body.toString(StandardCharsets.UTF_8);
    }

    /** Returns whether the response is an error response or contains an error event with this code. */
    boolean failedWith(String code) {
        return text().contains("\"code\":\"" + code + "\"");
    }

    boolean reportsOutcome(String outcome) {
        return text().contains("\"outcome\":\"" + outcome + "\"");
    }

    String contractViolation() {
        return contractViolation;
    }

    private void check(boolean violated, String violation) {
        if (violated) {
            contractViolation = violation;
        }
    }
}

package org.basilrill.protocol.caller;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.zip.CRC32;
import java.util.zip.CRC32C;

/** Estimates the tokens of a prompt and hashes its prefixes while its text is read. Not thread safe. */
final class PromptText {
    /** About the length of a token of English text; characters outside ASCII count as a token each. */
    private static final int CHARACTERS_PER_TOKEN = 4;

    /** Tokens that chat templates add around one message or string. */
    private static final int TOKENS_PER_STRING = 1;

    /** A hash per this many bytes; about the block length of prefix caches (64 tokens). */
    private static final int BLOCK_BYTES = 256;

    private static final int MAXIMUM_HASHES = 32;

    private final CRC32C low = new CRC32C();
    /** Of another polynomial: two values of one polynomial over the same bytes are no stronger than one. */
    private final CRC32 high = new CRC32();

    private final List<Long> hashes = new ArrayList<>();
    private long asciiCharacters;
    private long otherCharacters;
    private long fixedTokens;
    private int blockFill;

    void add(String text) {
        for (int index = 0; index < text.length(); index++) {
            if (text.charAt(index) < 0x80) {
                asciiCharacters++;
            } else {
                otherCharacters++;
            }
        }
        fixedTokens += TOKENS_PER_STRING;
        hash(text);
    }

    void addTokenNumber(String number) {
        fixedTokens++;
        hash(number);
    }

    long tokens() {
        return fixedTokens + otherCharacters + (asciiCharacters + CHARACTERS_PER_TOKEN - 1) / CHARACTERS_PER_TOKEN;
    }

    List<Long> prefixHashes() {
        return List.copyOf(hashes);
    }

    private void hash(String text) {
        if (hashes.size() >= MAXIMUM_HASHES) {
            return;
        }
        int enough = Math.min(text.length(), BLOCK_BYTES * MAXIMUM_HASHES);
        byte[] bytes = text.substring(0, enough).getBytes(StandardCharsets.UTF_8);
        int position = 0;
        while (position < bytes.length && hashes.size() < MAXIMUM_HASHES) {
            int length = Math.min(BLOCK_BYTES - blockFill, bytes.length - position);
            low.update(bytes, position, length);
            high.update(bytes, position, length);
            position += length;
            blockFill += length;
            if (blockFill == BLOCK_BYTES) {
                hashes.add(high.getValue() << 32 | low.getValue());
                blockFill = 0;
            }
        }
    }
}

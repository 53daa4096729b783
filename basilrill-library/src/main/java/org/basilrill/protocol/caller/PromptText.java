package org.basilrill.protocol.caller;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.zip.CRC32;
import java.util.zip.CRC32C;

/** Estimates the number of tokens of a prompt and hashes its prefixes as its text is added. Not thread safe. */
final class PromptText {
    /** Approximate length of a token of English text. Each character outside ASCII counts as one token. */
    private static final int CHARACTERS_PER_TOKEN = 4;

    /** Tokens that a chat template adds for each message or string. */
    private static final int TOKENS_PER_STRING = 1;

    /** Bytes between two prefix hashes; about the block length of prefix caches (64 tokens). */
    private static final int BLOCK_BYTES = 256;

    private static final int MAXIMUM_HASHES = 32;

    private final CRC32C lowHash = new CRC32C();
    /**
     * Uses a different polynomial than {@link #lowHash}: two checksums with the same polynomial over the same bytes are
     * no stronger than a single one.
     */
    private final CRC32 highHash = new CRC32();

    private final List<Long> hashes = new ArrayList<>();
    private long asciiCharacters;
    private long otherCharacters;
    private long fixedTokens;
    private int bytesInBlock;

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
        int hashedCharacters = Math.min(text.length(), BLOCK_BYTES * MAXIMUM_HASHES);
        byte[] bytes = text.substring(0, hashedCharacters).getBytes(StandardCharsets.UTF_8);
        int position = 0;
        while (position < bytes.length && hashes.size() < MAXIMUM_HASHES) {
            int length = Math.min(BLOCK_BYTES - bytesInBlock, bytes.length - position);
            lowHash.update(bytes, position, length);
            highHash.update(bytes, position, length);
            position += length;
            bytesInBlock += length;
            if (bytesInBlock == BLOCK_BYTES) {
                hashes.add(highHash.getValue() << 32 | lowHash.getValue());
                bytesInBlock = 0;
            }
        }
    }
}

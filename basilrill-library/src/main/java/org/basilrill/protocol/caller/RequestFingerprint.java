package org.basilrill.protocol.caller;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.Optional;
import org.basilrill.api.AccountId;

/** Computes SHA-256 fingerprints of requests. Stateless and thread safe. */
public final class RequestFingerprint {
    private static final String ALGORITHM = "SHA-256";

    private RequestFingerprint() {}

    /** Returns the fingerprint of account and body, by which requests that crash targets are identified. */
    public static String ofContent(Optional<AccountId> account, byte[] body) {
        MessageDigest digest = digest();
        addPart(digest, account.map(AccountId::value).orElse(""));
        digest.update(body);
        return HexFormat.of().formatHex(digest.digest());
    }

    /**
     * Returns the fingerprint of a call to a plain service. It includes the method and the path, because all calls
     * without a body would otherwise have the same fingerprint.
     */
    public static String ofCall(Optional<AccountId> account, String method, String path, byte[] body) {
        MessageDigest digest = digest();
        addPart(digest, account.map(AccountId::value).orElse(""));
        addPart(digest, method);
        addPart(digest, path);
        digest.update(body);
        return HexFormat.of().formatHex(digest.digest());
    }

    /**
     * Returns the fingerprint of an order, by which different orders under the same idempotency key are distinguished.
     */
    public static String ofOrder(String callFingerprint, String query) {
        MessageDigest digest = digest();
        addPart(digest, callFingerprint);
        addPart(digest, query);
        return HexFormat.of().formatHex(digest.digest());
    }

    /** Adds a part and a zero byte as separator. No part contains a zero byte. */
    private static void addPart(MessageDigest digest, String part) {
        digest.update(part.getBytes(StandardCharsets.UTF_8));
        digest.update((byte) 0);
    }

    private static MessageDigest digest() {
        try {
            return MessageDigest.getInstance(ALGORITHM);
        } catch (NoSuchAlgorithmException exception) {
            throw new IllegalStateException(ALGORITHM + " is part of every Java platform", exception);
        }
    }
}

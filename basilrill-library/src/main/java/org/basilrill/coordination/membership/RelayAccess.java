package org.basilrill.coordination.membership;

/**
 * How other instances reach the relay of an instance, which carries exchanges with targets for them. Immutable and
 * thread safe.
 *
 * @param address IP number and port
 * @param token secret that a request to the relay must carry; known only to instances that take part in the membership
 */
public record RelayAccess(String address, String token) {
    /** Does not show the token, which must not appear in logs. */
    @Override
    public String toString() {
        return address;
    }
}

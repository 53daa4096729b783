package org.basilrill.transport.http;

import java.util.Set;
import org.apache.hc.core5.http.EntityDetails;

/**
 * Length of a body; negative for a chunked body. States no content type, because the header fields contain it already.
 * Immutable and thread safe.
 */
record BodyDetails(long length) implements EntityDetails {
    static final long CHUNKED = -1;

    @Override
    public long getContentLength() {
        return length;
    }

    @Override
    public String getContentType() {
        return null;
    }

    @Override
    public String getContentEncoding() {
        return null;
    }

    @Override
    public boolean isChunked() {
        return length < 0;
    }

    @Override
    public Set<String> getTrailerNames() {
        return Set.of();
    }
}

package org.basilrill.scaffold.virtual;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Checks that compare-and-set and reads of a text with a revision are linearizable. As each accepted write raises the
 * revision by one, operations sorted by revision, a write before the reads of it, must respect real time. Not thread
 * safe.
 */
public final class RevisionHistory {
    private final List<Operation> operations = new ArrayList<>();

    /** Notes a write that was called for, before its answer. */
    public Operation write(long nanos, long expectedRevision, String text) {
        return begin(new Operation(nanos, true, expectedRevision + 1, text));
    }

    /** Notes a read that was called for, before its answer. */
    public Operation read(long nanos) {
        return begin(new Operation(nanos, false, -1, null));
    }

    /** Returns a contradiction to linearizability, if there is one. */
    public Optional<String> violation() {
        Map<Long, String> texts = new HashMap<>();
        for (Operation done : operations) {
            if (!done.counts()) {
                continue;
            }
            if (done.skipped) {
                return Optional.of(done + " replaced another revision than the expected one");
            }
            String other = done.text == null ? null : texts.putIfAbsent(done.revision, done.text);
            if (other != null && !other.equals(done.text)) {
                return Optional.of("two texts of revision " + done.revision);
            }
        }
        for (Operation first : operations) {
            for (Operation second : operations) {
                boolean before = first.counts() && second.counts() && first.endNanos < second.startNanos;
                boolean reversed = second.revision < first.revision
                        || second.write && second.revision == first.revision && second != first;
                if (before && reversed) {
                    return Optional.of(first + " ended before " + second + " began");
                }
            }
        }
        return Optional.empty();
    }

    private Operation begin(Operation operation) {
        operations.add(operation);
        return operation;
    }

    /** One operation of an operator. */
    public static final class Operation {
        private final long startNanos;
        private boolean write;
        private long revision;
        private String text;
        private long endNanos = Long.MAX_VALUE;
        private boolean skipped;

        private Operation(long startNanos, boolean write, long revision, String text) {
            this.startNanos = startNanos;
            this.write = write;
            this.revision = revision;
            this.text = text;
        }

        /** Notes that the write was accepted. */
        public void accepted(long nanos, long acceptedRevision) {
            endNanos = nanos;
            skipped = revision != acceptedRevision;
            revision = acceptedRevision;
        }

        /** Notes the text read. */
        public void read(long nanos, long readRevision, String readText) {
            endNanos = nanos;
            revision = readRevision;
            text = readText;
        }

        /** Notes that the write met another revision, which makes it a read of that one. */
        public void conflicted(long nanos, long currentRevision) {
            write = false;
            endNanos = nanos;
            revision = currentRevision;
            text = null;
        }

        /** Operations without an answer may have had no effect. */
        private boolean counts() {
            return endNanos != Long.MAX_VALUE;
        }

        @Override
        public String toString() {
            return String.format(
                    "%s of revision %d from %d to %d ms",
                    write ? "write" : "read", revision, startNanos / 1_000_000, endNanos / 1_000_000);
        }
    }
}

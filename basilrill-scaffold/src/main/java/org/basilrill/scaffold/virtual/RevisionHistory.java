package org.basilrill.scaffold.virtual;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Checks that compare-and-set operations and reads of a text with a revision are linearizable. Each accepted write
 * raises the revision by one. So the order by revision, with a write before the reads of its revision, must agree with
 * the order in real time. Not thread safe.
 */
public final class RevisionHistory {
    private final List<Operation> operations = new ArrayList<>();

    /** Records the start of a write. */
    public Operation write(long nanos, long expectedRevision, String text) {
        return begin(new Operation(nanos, true, expectedRevision + 1, text));
    }

    /** Records the start of a read. */
    public Operation read(long nanos) {
        return begin(new Operation(nanos, false, -1, null));
    }

    /** Returns a violation of linearizability, if there is one. */
    public Optional<String> violation() {
        Map<Long, String> texts = new HashMap<>();
        for (Operation operation : operations) {
            if (!operation.isCompleted()) {
                continue;
            }
            if (operation.replacedUnexpectedRevision) {
                return Optional.of(operation + " replaced a revision other than the expected one");
            }
            String other = operation.text == null ? null : texts.putIfAbsent(operation.revision, operation.text);
            if (other != null && !other.equals(operation.text)) {
                return Optional.of("two texts for revision " + operation.revision);
            }
        }
        for (Operation first : operations) {
            for (Operation second : operations) {
                boolean before = first.isCompleted() && second.isCompleted() && first.endNanos < second.startNanos;
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

    /** One read or write of an operator. */
    public static final class Operation {
        private final long startNanos;
        private boolean write;
        private long revision;
        private String text;
        private long endNanos = Long.MAX_VALUE;
        private boolean replacedUnexpectedRevision;

        private Operation(long startNanos, boolean write, long revision, String text) {
            this.startNanos = startNanos;
            this.write = write;
            this.revision = revision;
            this.text = text;
        }

        /** Records that the write was accepted. */
        public void accepted(long nanos, long acceptedRevision) {
            endNanos = nanos;
            replacedUnexpectedRevision = revision != acceptedRevision;
            revision = acceptedRevision;
        }

        /** Records the result of the read. */
        public void read(long nanos, long readRevision, String readText) {
            endNanos = nanos;
            revision = readRevision;
            text = readText;
        }

        /** Records that the write failed because another revision was current; it counts as a read of that revision. */
        public void conflicted(long nanos, long currentRevision) {
            write = false;
            endNanos = nanos;
            revision = currentRevision;
            text = null;
        }

        /** Returns whether a response was received; operations without a response may have had no effect. */
        private boolean isCompleted() {
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

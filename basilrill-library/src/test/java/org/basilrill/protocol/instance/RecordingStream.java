package org.basilrill.protocol.instance;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import org.basilrill.protocol.caller.AnswerHead;

/** Records an answer and every breach of the contract of caller streams. Not thread safe. */
final class RecordingStream implements CallerStream {
    private final ByteArrayOutputStream body = new ByteArrayOutputStream();
    private AnswerHead head;
    private int finals;
    private boolean aborted;
    private String breach = "";

    @Override
    public void start(AnswerHead answer) {
        note(head != null, "started twice");
        note(finals > 0, "started after the end");
        head = answer;
    }

    @Override
    public void write(byte[] bytes) {
        note(head == null, "written before the start");
        note(finals > 0, "written after the end");
        body.writeBytes(bytes);
    }

    @Override
    public void end() {
        note(head == null, "ended before the start");
        finals++;
    }

    @Override
    public void abort() {
        finals++;
        aborted = true;
    }

    int finals() {
        return finals;
    }

    /** Returns whether the answer ended as complete. */
    boolean complete() {
        return finals == 1 && !aborted;
    }

    boolean aborted() {
        return aborted;
    }

    int status() {
        return head == null ? 0 : head.status();
    }

    AnswerHead head() {
        return head;
    }

    String text() {
        return body.toString(StandardCharsets.UTF_8);
    }

    /** Returns whether the answer is a refusal or an error event with this code. */
    boolean failedWith(String code) {
        return text().contains("\"code\":\"" + code + "\"");
    }

    boolean saysOutcome(String outcome) {
        return text().contains("\"outcome\":\"" + outcome + "\"");
    }

    String breach() {
        return breach;
    }

    private void note(boolean wrong, String what) {
        if (wrong) {
            breach = what;
        }
    }
}

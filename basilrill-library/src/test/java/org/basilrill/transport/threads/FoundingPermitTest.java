package org.basilrill.transport.threads;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Guards against a cluster that is never founded because a founding replica ended once, and against a second one. */
class FoundingPermitTest {
    @TempDir
    private Path folder;

    @Test
    void aReplicaThatIsStartedAgainBeforeTheFoundingStillTakesPart() {
        assertThat(FoundingPermit.granted(folder.resolve("data"), true), is(true));
        assertThat(FoundingPermit.granted(folder.resolve("data"), false), is(true));
    }

    @Test
    void aWipedReplicaFoundsNothing() throws IOException {
        Path data = folder.resolve("data");
        FoundingPermit.granted(data, true);
        Files.delete(data.resolve("may-found"));
        Files.delete(data);
        assertThat(FoundingPermit.granted(data, false), is(false));
    }
}

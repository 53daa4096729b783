package org.basilrill.transport.threads;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Guards against a cluster that is never founded because a founding replica was restarted, and against the founding of
 * a second cluster.
 */
class FoundingPermitTest {
    @TempDir
    private Path folder;

    @Test
    void aReplicaRestartedBeforeTheFoundingKeepsItsPermit() {
        assertThat(FoundingPermit.granted(folder.resolve("data"), true), is(true));
        assertThat(FoundingPermit.granted(folder.resolve("data"), false), is(true));
    }

    @Test
    void aWipedReplicaHasNoPermit() throws IOException {
        Path data = folder.resolve("data");
        FoundingPermit.granted(data, true);
        Files.delete(data.resolve("may-found"));
        Files.delete(data);
        assertThat(FoundingPermit.granted(data, false), is(false));
    }
}

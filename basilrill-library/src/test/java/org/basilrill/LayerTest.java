package org.basilrill;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** Tests the dependencies between layers: a layer may use those before it in the list, never one after it. */
class LayerTest {
    private static final List<String> LAYERS = List.of("api", "state", "coordination", "protocol", "transport");
    private static final Path SOURCES = Path.of("src/main/java/org/basilrill");
    private static final String PACKAGE_PREFIX = "org.basilrill.";

    @Test
    void noLayerUsesALaterOne() throws IOException {
        List<String> violations = new ArrayList<>();
        for (int layer = 0; layer < LAYERS.size(); layer++) {
            for (Path source : sourcesOf(LAYERS.get(layer))) {
                String text = Files.readString(source);
                for (String later : LAYERS.subList(layer + 1, LAYERS.size())) {
                    if (text.contains(PACKAGE_PREFIX + later + ".")) {
                        violations.add(source + " uses " + later);
                    }
                }
            }
        }
        assertThat(violations, is(empty()));
    }

    @Test
    void decisionLayersReadNoWallClockAndStartNoThread() throws IOException {
        List<String> forbidden = List.of(
                "System.currentTimeMillis",
                "System.nanoTime",
                "new Thread(",
                "Executors.",
                "java.net.Socket",
                "ThreadLocalRandom",
                "Instant.now");
        List<String> violations = new ArrayList<>();
        for (String layer : List.of("state", "coordination", "protocol")) {
            for (Path source : sourcesOf(layer)) {
                String text = Files.readString(source);
                forbidden.stream().filter(text::contains).forEach(word -> violations.add(source + " uses " + word));
            }
        }
        assertThat(violations, is(empty()));
    }

    private static List<Path> sourcesOf(String layer) throws IOException {
        try (Stream<Path> paths = Files.walk(SOURCES.resolve(layer))) {
            return paths.filter(path -> path.toString().endsWith(".java")).toList();
        }
    }
}

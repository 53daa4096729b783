package org.basilrill.api;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsInAnyOrder;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** Guards against events that the catalogue for operators lacks, and against numbers used twice. */
class LogEventTest {
    private static final Path CATALOGUE = Path.of("../docs/events.md");

    @Test
    void theCatalogueInTheDocsListsExactlyTheEventsOfTheCode() throws IOException {
        List<String> documented = Files.readAllLines(CATALOGUE).stream()
                .filter(line -> line.startsWith("| E"))
                .toList();
        String[] expected = Stream.of(LogEvent.values())
                .map(event -> String.format("| E%d | `%s` | %s |", event.number(), event.name(), event.summary()))
                .toArray(String[]::new);
        assertThat(documented, containsInAnyOrder(expected));
    }

    @Test
    void noNumberIsUsedTwice() {
        List<Integer> numbers =
                Stream.of(LogEvent.values()).map(LogEvent::number).toList();
        assertThat(numbers.stream().distinct().toList(), containsInAnyOrder(numbers.toArray()));
    }
}

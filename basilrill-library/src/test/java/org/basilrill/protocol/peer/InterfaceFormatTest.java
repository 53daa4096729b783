package org.basilrill.protocol.peer;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/**
 * Guards against messages and stored records that another build reads differently: an ID whose field was changed,
 * removed or used again. Compares the interface files with docs/formats.txt, to which lines are only added.
 */
class InterfaceFormatTest {
    private static final Path INTERFACES = Path.of("../basilrill-thrift/src/main/thrift");
    private static final Path FORMATS = Path.of("../docs/formats.txt");
    private static final Pattern TYPE = Pattern.compile("(?:struct|union|exception|enum) (\\w+) \\{");
    private static final Pattern FIELD = Pattern.compile("\\s*(\\d+): (.*?)[,;]?\\s*");
    private static final Pattern CONSTANT = Pattern.compile("\\s*(\\w+) = (\\d+)[,;]?\\s*");

    @Test
    void noPublishedIdIsChangedOrRemoved() throws IOException {
        List<String> missing = new ArrayList<>(published());
        missing.removeAll(current());
        assertThat("published in docs/formats.txt, but not in the interface files", missing, empty());
    }

    @Test
    void everyIdIsPublished() throws IOException {
        List<String> added = new ArrayList<>(current());
        added.removeAll(published());
        assertThat("to be added to docs/formats.txt, new fields as optional", added, empty());
    }

    private static List<String> published() throws IOException {
        return Files.readAllLines(FORMATS).stream()
                .filter(line -> !line.isBlank() && !line.startsWith("#"))
                .toList();
    }

    private static List<String> current() throws IOException {
        List<Path> files;
        try (Stream<Path> found = Files.list(INTERFACES)) {
            files = found.sorted().toList();
        }
        List<String> ids = new ArrayList<>();
        for (Path file : files) {
            addIds(file, ids);
        }
        return ids;
    }

    private static void addIds(Path file, List<String> ids) throws IOException {
        String type = "";
        for (String line : Files.readAllLines(file)) {
            Matcher start = TYPE.matcher(line);
            Matcher field = FIELD.matcher(line);
            Matcher constant = CONSTANT.matcher(line);
            if (start.find()) {
                type = start.group(1);
            } else if (field.matches()) {
                ids.add(String.join(" ", file.getFileName().toString(), type, field.group(1), field.group(2)));
            } else if (constant.matches()) {
                ids.add(String.join(" ", file.getFileName().toString(), type, constant.group(2), constant.group(1)));
            }
        }
    }
}

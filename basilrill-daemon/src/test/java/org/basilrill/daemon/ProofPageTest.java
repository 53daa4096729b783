package org.basilrill.daemon;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** Guards against references in docs/proofs.md to tests that do not exist. */
class ProofPageTest {
    private static final Path ROOT = Path.of("..");
    private static final Pattern TEST_CLASS = Pattern.compile("`([A-Z][A-Za-z]*Test)`");

    @Test
    void everyTestNamedOnThePageExists() throws IOException {
        List<String> named = TEST_CLASS
                .matcher(Files.readString(ROOT.resolve("docs/proofs.md")))
                .results()
                .map(result -> result.group(1))
                .distinct()
                .toList();
        assertThat(named.size(), is(greaterThan(10)));
        Set<String> existing = testClasses();
        assertThat(named.stream().filter(name -> !existing.contains(name)).toList(), is(empty()));
    }

    private static Set<String> testClasses() throws IOException {
        Pattern file = Pattern.compile("(.*Test)\\.java");
        try (Stream<Path> paths = Files.walk(ROOT)) {
            return paths.map(path -> file.matcher(path.getFileName().toString()))
                    .filter(Matcher::matches)
                    .map(matcher -> matcher.group(1))
                    .collect(Collectors.toSet());
        }
    }
}

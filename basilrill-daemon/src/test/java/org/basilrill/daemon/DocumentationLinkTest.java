package org.basilrill.daemon;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;

import java.io.IOException;
import java.nio.file.FileVisitResult;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.SimpleFileVisitor;
import java.nio.file.attribute.BasicFileAttributes;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.Test;

/** Guards against links in the documentation to files that were renamed, removed or never written. */
class DocumentationLinkTest {
    private static final Path REPOSITORY = Path.of("..").toAbsolutePath().normalize();
    private static final Set<String> SKIPPED_FOLDERS = Set.of("target", "node_modules");
    /** Destination of a link {@code [text](destination "title")}, without the title. */
    private static final Pattern LINK = Pattern.compile("\\]\\(<?([^)\\s>]+)");

    private static final Pattern EXTERNAL_OR_ANCHOR = Pattern.compile("[a-zA-Z][a-zA-Z0-9+.-]*:.*|#.*");
    /** Code blocks and code spans, in which brackets are not links. */
    private static final Pattern CODE = Pattern.compile("(?ms)^ *```.*?^ *```|`[^`\\n]*`");

    @Test
    void everyRelativeLinkPointsToAnExistingFile() throws IOException {
        List<String> broken = new ArrayList<>();
        int links = 0;
        for (Path page : pages()) {
            for (String destination : relativeLinks(Files.readString(page))) {
                links++;
                Path file = page.resolveSibling(destination.replaceFirst("#.*", ""));
                if (!Files.exists(file)) {
                    broken.add(REPOSITORY.relativize(page) + " points to " + destination);
                }
            }
        }
        assertThat(broken, is(empty()));
        assertThat("links found", links, is(greaterThan(0)));
    }

    @Test
    void linksInCodeAreIgnored() {
        String text = "[a](b.md#c) [d](https://e) [f](#g) `[h](i)`\n```\n[j](k)\n```\n![l](m/n.png \"o\")\n";
        assertThat(relativeLinks(text), is(List.of("b.md#c", "m/n.png")));
    }

    private static List<String> relativeLinks(String text) {
        Matcher matcher = LINK.matcher(CODE.matcher(text).replaceAll(""));
        return matcher.results()
                .map(result -> result.group(1))
                .filter(destination -> !EXTERNAL_OR_ANCHOR.matcher(destination).matches())
                .toList();
    }

    private static List<Path> pages() throws IOException {
        List<Path> pages = new ArrayList<>();
        Files.walkFileTree(REPOSITORY, new SimpleFileVisitor<>() {
            @Override
            public FileVisitResult preVisitDirectory(Path folder, BasicFileAttributes attributes) {
                String name = folder.getFileName().toString();
                boolean skipped =
                        !folder.equals(REPOSITORY) && (name.startsWith(".") || SKIPPED_FOLDERS.contains(name));
                return skipped ? FileVisitResult.SKIP_SUBTREE : FileVisitResult.CONTINUE;
            }

            @Override
            public FileVisitResult visitFile(Path file, BasicFileAttributes attributes) {
                if (file.toString().endsWith(".md")) {
                    pages.add(file);
                }
                return FileVisitResult.CONTINUE;
            }
        });
        return pages;
    }
}

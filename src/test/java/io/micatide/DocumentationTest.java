package io.micatide;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;

/** The pages name classes as the sources do, and link only to pages that exist. */
class DocumentationTest {
    /** {@code ClassName} or {@code ClassName.member}: two capitals at least, so that words and constants are passed over. */
    private static final Pattern CODE_NAME =
            Pattern.compile("`([A-Z][a-z]+(?:[A-Z][A-Za-z0-9]+)+)(?:\\.(\\w+))?[^`]*`");

    /** A link to a file of the repository: neither an address nor a place on the same page. */
    private static final Pattern LOCAL_LINK = Pattern.compile("\\]\\((?!https?:|#)([^)#\\s]+)(?:#[^)]*)?\\)");

    private static final Pattern DECLARED = Pattern.compile("\\b(?:class|interface|enum|record)\\s+([A-Z]\\w*)");

    /** Names of the Java platform and of tools that pages may mention. */
    private static final Set<String> FOREIGN = Set.of();

    private static List<Path> files(String ending, Path... roots) throws IOException {
        List<Path> result = new ArrayList<>();
        for (Path root : roots) {
            try (Stream<Path> all = Files.walk(root)) {
                all.filter(file -> file.toString().endsWith(ending)).forEach(result::add);
            }
        }
        return result;
    }

    /** Links of a page to files that do not exist, each with its page. */
    private static List<String> brokenLinks(Path page, String text) {
        Path folder = page.toAbsolutePath().getParent();
        return LOCAL_LINK
                .matcher(text)
                .results()
                .map(link -> link.group(1))
                .filter(target -> !Files.exists(folder.resolve(target)))
                .map(target -> page + ": " + target)
                .toList();
    }

    @Test
    @DisplayName("every link of a page leads to a file that exists")
    void linkedPagesExist() throws IOException {
        List<String> broken = new ArrayList<>();
        for (Path page : files(".md", Path.of("docs"), Path.of("README.md"))) {
            broken.addAll(brokenLinks(page, Files.readString(page)));
        }
        assertEquals(List.of(), broken);
    }

    @Test
    @DisplayName("a link to a file that does not exist is found, other links are not")
    void brokenLinkIsFound() {
        String text =
                "[a](missing.md), [b](missing.md#part), [c](https://example.org), [d](#here), [e](README.md#try-it)";
        assertEquals(
                List.of("README.md: missing.md", "README.md: missing.md"), brokenLinks(Path.of("README.md"), text));
    }

    @Test
    @DisplayName("every class that a page names is in the sources")
    void namesOfClassesExist() throws IOException {
        List<Path> sources = files(".java", Path.of("src"), Path.of("client", "src"));
        Set<String> declared = new TreeSet<>(FOREIGN);
        StringBuilder code = new StringBuilder();
        for (Path source : sources) {
            String text = Files.readString(source);
            code.append(text);
            Matcher matcher = DECLARED.matcher(text);
            while (matcher.find()) {
                declared.add(matcher.group(1));
            }
        }
        Set<String> words = Pattern.compile("\\W+").splitAsStream(code).collect(Collectors.toSet());
        List<String> missing = new ArrayList<>();
        int named = 0;
        for (Path page : files(".md", Path.of("docs"), Path.of("README.md"))) {
            Matcher matcher = CODE_NAME.matcher(Files.readString(page));
            while (matcher.find()) {
                named++;
                boolean known = declared.contains(matcher.group(1))
                        && (matcher.group(2) == null || words.contains(matcher.group(2)));
                if (!known) {
                    missing.add(page + ": " + matcher.group());
                }
            }
        }
        assertEquals(List.of(), missing);
        assertTrue(named > 50, named + " names on all pages");
    }
}

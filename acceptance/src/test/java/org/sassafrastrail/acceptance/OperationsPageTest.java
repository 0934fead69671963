package org.sassafrastrail.acceptance;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.SortedSet;
import java.util.TreeSet;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import java.util.stream.Stream;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/** Tests that docs/OPERATIONS.md documents each log event of the gateway, platform and application modules. */
class OperationsPageTest {

    private static final Path ROOT = Path.of("..");
    private static final List<String> MODULES = List.of("gateway", "platform", "application");
    private static final Pattern LOG_EVENT =
            Pattern.compile("log\\.(?:info|warn|error|debug)\\(\\s*\"([a-z-]+)\"\\s*[,)]");

    private static Stream<Path> sources(String module) {
        try (Stream<Path> files = Files.walk(ROOT.resolve(module).resolve("src/main"))) {
            return files.filter(file -> file.toString().endsWith(".java")).toList().stream();
        } catch (IOException unreadable) {
            throw new UncheckedIOException(unreadable);
        }
    }

    private static String text(Path file) {
        try {
            return Files.readString(file);
        } catch (IOException unreadable) {
            throw new UncheckedIOException(unreadable);
        }
    }

    @Test
    void everyLogEventIsDocumented() {
        SortedSet<String> events = MODULES.stream()
                .flatMap(OperationsPageTest::sources)
                .flatMap(file -> LOG_EVENT.matcher(text(file)).results().map(found -> found.group(1)))
                .collect(Collectors.toCollection(TreeSet::new));
        assertThat(events).contains("dispatched", "answered", "store-lost");
        String page = text(ROOT.resolve("docs/OPERATIONS.md"));
        assertThat(events).allSatisfy(event -> assertThat(page).contains("`" + event + "`"));
    }
}

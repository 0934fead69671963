package org.sassafrastrail.runtime;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/** Logs in a process of its own whose output is read late or not at all. */
class UnreadOutputTest {

    private static final int MORE_LINES_THAN_PIPE_AND_QUEUE_HOLD = 20_000;
    private static final int FEW_LINES = 50;
    private static final String PADDING = "x".repeat(200);
    private static final int TIMEOUT_SECONDS = 20;
    private static final int DONE = 7;

    /** Logs as many numbered lines as the argument says, then one as an error, and exits. */
    static final class Program {

        private Program() {}

        public static void main(String[] arguments) {
            Logging.configure("INFO");
            EventLog log = new EventLog("org.sassafrastrail.runtime");
            IntStream.range(0, Integer.parseInt(arguments[0]))
                    .forEach(
                            number -> log.info("line", LogField.of("number", number), LogField.of("padding", PADDING)));
            log.error("fatal", new IllegalStateException("the end"));
            System.exit(DONE);
        }
    }

    private static Process start(int lines) throws IOException {
        return new ProcessBuilder(
                        Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                        "-Djava.util.logging.manager=org.jboss.logmanager.LogManager",
                        "-cp",
                        System.getProperty("java.class.path"),
                        Program.class.getName(),
                        String.valueOf(lines))
                .redirectErrorStream(true)
                .start();
    }

    @Test
    void processGoesOnWhileNobodyReadsItsOutput() throws IOException, InterruptedException {
        Process process = start(MORE_LINES_THAN_PIPE_AND_QUEUE_HOLD);
        try {
            assertThat(process.waitFor(TIMEOUT_SECONDS, TimeUnit.SECONDS)).isTrue();
            assertThat(process.exitValue()).isEqualTo(DONE);
        } finally {
            process.destroyForcibly();
        }
    }

    @Test
    void linesComeInOrderAndAllBeforeTheExit() throws IOException, InterruptedException {
        Process process = start(FEW_LINES);
        List<String> lines = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8)
                .lines()
                .toList();
        assertThat(process.waitFor()).isEqualTo(DONE);
        assertThat(lines.stream()
                        .filter(line -> line.contains("event=line"))
                        .map(line -> line.replaceAll(".* number=(\\d+) .*", "$1")))
                .containsExactlyElementsOf(
                        IntStream.range(0, FEW_LINES).mapToObj(String::valueOf).toList());
        assertThat(lines.get(FEW_LINES)).contains("level=ERROR event=fatal");
        assertThat(lines.get(FEW_LINES + 1)).contains("the end");
    }
}

package org.sassafrastrail.acceptance.process;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/** Runs one of the programs as a process that can be terminated, killed, frozen and thawed by signals. */
public final class ProgramProcess {

    private static final long EXIT_SECONDS = 30;

    private final Process process;
    private final Path output;

    private ProgramProcess(Process process, Path output) {
        this.process = process;
        this.output = output;
    }

    public static ProgramProcess start(Path folder, String... arguments) {
        try {
            Path output = Files.createTempFile(folder, arguments[0], ".log");
            List<String> command = Stream.concat(
                            Stream.of(
                                    Path.of(System.getProperty("java.home"), "bin", "java")
                                            .toString(),
                                    "-XX:+UseSerialGC",
                                    "-Xmx64m",
                                    "-XX:TieredStopAtLevel=1",
                                    "-Djava.util.logging.manager=org.jboss.logmanager.LogManager",
                                    "-cp",
                                    System.getProperty("java.class.path"),
                                    "org.sassafrastrail.application.Main"),
                            Stream.of(arguments))
                    .toList();
            Process process = new ProcessBuilder(command)
                    .redirectErrorStream(true)
                    .redirectOutput(output.toFile())
                    .start();
            Runtime.getRuntime().addShutdownHook(new Thread(process::destroyForcibly));
            return new ProgramProcess(process, output);
        } catch (IOException failure) {
            throw new UncheckedIOException(failure);
        }
    }

    public void kill() {
        process.destroyForcibly();
        exitCode();
    }

    public void terminate() {
        process.destroy();
    }

    public void freeze() {
        signal("STOP");
    }

    public void thaw() {
        signal("CONT");
    }

    public boolean isAlive() {
        return process.isAlive();
    }

    public int exitCode() {
        try {
            return process.waitFor(EXIT_SECONDS, TimeUnit.SECONDS) ? process.exitValue() : -1;
        } catch (InterruptedException interrupted) {
            throw new IllegalStateException(interrupted);
        }
    }

    public String output() {
        try {
            return Files.readString(output, StandardCharsets.UTF_8);
        } catch (IOException failure) {
            throw new UncheckedIOException(failure);
        }
    }

    private void signal(String signal) {
        try {
            new ProcessBuilder("kill", "-" + signal, String.valueOf(process.pid()))
                    .start()
                    .waitFor();
        } catch (IOException | InterruptedException failure) {
            throw new IllegalStateException(failure);
        }
    }
}

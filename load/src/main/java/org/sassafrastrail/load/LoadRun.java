package org.sassafrastrail.load;

import java.io.PrintStream;
import java.time.Clock;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.IntStream;
import java.util.stream.Stream;

import org.sassafrastrail.http.UndertowHttpClient;

/** Runs all callers of a load to completion and prints a report with one line per client account and path. */
public final class LoadRun {

    private static final int CLIENT_THREADS = 2;

    private final LoadSettings settings;
    private final Clock clock;

    /**
     * Creates a run.
     *
     * @param settings the settings of the load
     * @param clock the clock from which the run gets a unique name
     */
    public LoadRun(LoadSettings settings, Clock clock) {
        this.settings = settings;
        this.clock = clock;
    }

    /**
     * Runs the load and prints the report.
     *
     * @param output the stream that the report is printed to
     * @return whether every request received a complete response
     */
    public boolean run(PrintStream output) {
        UndertowHttpClient http = new UndertowHttpClient(CLIENT_THREADS);
        http.start();
        ExecutorService executor = Executors.newCachedThreadPool();
        try {
            String runName = "run" + clock.millis();
            List<AccountReport> reports = settings.callers().stream()
                    .map(caller -> new AccountReport())
                    .toList();
            List<Callable<Void>> tasks = IntStream.range(0, reports.size())
                    .boxed()
                    .flatMap(index -> callerTasks(index, reports.get(index), http, runName))
                    .toList();
            await(executor, tasks);
            IntStream.range(0, reports.size())
                    .mapToObj(index -> reports.get(index)
                            .formatLine(
                                    settings.callers().get(index).account(),
                                    settings.callers().get(index).path()))
                    .forEach(output::println);
            return reports.stream().allMatch(AccountReport::isComplete);
        } finally {
            executor.shutdownNow();
            http.stop();
        }
    }

    private Stream<Callable<Void>> callerTasks(
            int index, AccountReport report, UndertowHttpClient http, String runName) {
        LoadSettings.CallerSettings caller = settings.callers().get(index);
        AtomicInteger remaining = new AtomicInteger(caller.requests());
        return IntStream.range(0, caller.concurrency()).mapToObj(number -> () -> {
            LoadCaller loadCaller = new LoadCaller(settings, caller, http, runName);
            while (remaining.getAndDecrement() > 0) {
                report.add(loadCaller.sendRequest());
            }
            return null;
        });
    }

    private static void await(ExecutorService executor, List<Callable<Void>> tasks) {
        try {
            List<Future<Void>> futures = new ArrayList<>(executor.invokeAll(tasks));
            for (Future<Void> future : futures) {
                future.get();
            }
        } catch (ExecutionException failure) {
            throw new IllegalStateException("a caller of the load run failed", failure.getCause());
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }
}

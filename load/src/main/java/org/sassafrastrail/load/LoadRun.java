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

/** Runs all callers of a load to their end and prints a line for each account and path. */
public final class LoadRun {

    private static final int CLIENT_THREADS = 2;

    private final LoadSettings settings;
    private final Clock clock;

    /**
     * Prepares a run.
     *
     * @param settings the load
     * @param clock names the run
     */
    public LoadRun(LoadSettings settings, Clock clock) {
        this.settings = settings;
        this.clock = clock;
    }

    /**
     * Runs the load.
     *
     * @param output where the report goes
     * @return whether every request got its whole answer
     */
    public boolean run(PrintStream output) {
        UndertowHttpClient http = new UndertowHttpClient(CLIENT_THREADS);
        http.start();
        ExecutorService threads = Executors.newCachedThreadPool();
        try {
            String run = "run" + clock.millis();
            List<AccountReport> reports = settings.callers().stream()
                    .map(caller -> new AccountReport())
                    .toList();
            List<Callable<Void>> work = IntStream.range(0, reports.size())
                    .boxed()
                    .flatMap(place -> work(place, reports.get(place), http, run))
                    .toList();
            await(threads, work);
            IntStream.range(0, reports.size())
                    .mapToObj(place -> reports.get(place)
                            .line(
                                    settings.callers().get(place).account(),
                                    settings.callers().get(place).path()))
                    .forEach(output::println);
            return reports.stream().allMatch(AccountReport::isWhole);
        } finally {
            threads.shutdownNow();
            http.stop();
        }
    }

    private Stream<Callable<Void>> work(int place, AccountReport report, UndertowHttpClient http, String run) {
        LoadSettings.CallerSettings caller = settings.callers().get(place);
        AtomicInteger left = new AtomicInteger(caller.requests());
        return IntStream.range(0, caller.concurrency()).mapToObj(number -> () -> {
            Caller one = new Caller(settings, caller, http, run);
            while (left.getAndDecrement() > 0) {
                report.add(one.call());
            }
            return null;
        });
    }

    private static void await(ExecutorService threads, List<Callable<Void>> work) {
        try {
            List<Future<Void>> futures = new ArrayList<>(threads.invokeAll(work));
            for (Future<Void> future : futures) {
                future.get();
            }
        } catch (ExecutionException fault) {
            throw new IllegalStateException("a caller failed", fault.getCause());
        } catch (InterruptedException stopped) {
            Thread.currentThread().interrupt();
        }
    }
}

package org.sassafrastrail.gate;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.IntStream;
import java.util.stream.Stream;

/**
 * Compares the tokens served to each account per second with its demand and with the best served account. An account is
 * credited with its largest requests of a window, because whether one of them falls into it is chance.
 */
final class FairShareAudit {

    private static final int WINDOW_SECONDS = 6;
    private static final int CREDITED_REQUESTS = 3;
    private static final double LATENCY_TARGET_MILLISECONDS = 500;
    private static final double MILLISECONDS = 1000;

    private final int seconds;
    private final Map<String, List<Second>> accounts = new TreeMap<>();

    FairShareAudit(Collection<SimulatedFleet.Request> requests, int seconds) {
        this.seconds = seconds;
        requests.forEach(this::add);
    }

    /** What an account requested and was served in one second. */
    private static final class Second {

        private final List<Long> requested = new ArrayList<>();
        private long served;
        private boolean late;

        long requestedTokens() {
            return requested.stream().mapToLong(Long::longValue).sum();
        }
    }

    /**
     * A window in each second of which an account had requests over the latency target.
     *
     * @param account the account
     * @param from the first second of the window
     * @param share the served tokens, with the credited requests, as a share of the account's demand or of the best served
     *     account's tokens, whichever is less
     */
    record Backlog(String account, int from, double share) {}

    private void add(SimulatedFleet.Request request) {
        List<Second> account = accounts.computeIfAbsent(
                request.account(),
                name -> Stream.generate(Second::new).limit(seconds).toList());
        int arrived = (int) (request.arrivedAt() / MILLISECONDS);
        if (arrived < seconds) {
            Second second = account.get(arrived);
            second.requested.add((long) request.prompt().cost());
            second.late |= request.startedAt() - request.arrivedAt() > LATENCY_TARGET_MILLISECONDS;
        }
        if (request.startedAt() < seconds * MILLISECONDS) {
            account.get((int) (request.startedAt() / MILLISECONDS)).served +=
                    request.prompt().cost();
        }
    }

    /** Returns all windows in which an account was backlogged throughout. */
    Stream<Backlog> backlogs() {
        return IntStream.rangeClosed(0, seconds - WINDOW_SECONDS).boxed().flatMap(from -> accounts.entrySet().stream()
                .filter(entry ->
                        window(from).allMatch(second -> entry.getValue().get(second).late))
                .map(entry -> new Backlog(entry.getKey(), from, share(entry.getValue(), from))));
    }

    /** Returns the tokens served to all accounts in a period. */
    long served(int fromSecond, int untilSecond) {
        return accounts.values().stream()
                .flatMap(account -> account.subList(fromSecond, untilSecond).stream())
                .mapToLong(second -> second.served)
                .sum();
    }

    private double share(List<Second> account, int from) {
        long fairTokens = window(from)
                .mapToLong(second -> Math.min(account.get(second).requestedTokens(), best(second)))
                .sum();
        long served =
                window(from).mapToLong(second -> account.get(second).served).sum();
        return (double) (served + creditedTokens(account, from)) / fairTokens;
    }

    private static long creditedTokens(List<Second> account, int from) {
        return window(from)
                .boxed()
                .flatMap(second -> account.get(second).requested.stream())
                .sorted(Comparator.reverseOrder())
                .limit(CREDITED_REQUESTS)
                .mapToLong(Long::longValue)
                .sum();
    }

    private long best(int second) {
        return accounts.values().stream()
                .mapToLong(account -> account.get(second).served)
                .max()
                .orElse(0);
    }

    private static IntStream window(int from) {
        return IntStream.range(from, from + WINDOW_SECONDS);
    }
}

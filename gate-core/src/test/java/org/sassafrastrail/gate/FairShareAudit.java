package org.sassafrastrail.gate;

import java.util.Collection;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.IntStream;
import java.util.stream.Stream;

/** Compares the tokens served to each account per second with its demand and with the best served account. */
final class FairShareAudit {

    private static final int WINDOW_SECONDS = 6;
    private static final double LATENCY_TARGET_MILLISECONDS = 500;
    private static final double MILLISECONDS = 1000;

    private final int seconds;
    private final Map<String, Account> accounts = new TreeMap<>();

    FairShareAudit(Collection<SimulatedFleet.Request> requests, int seconds) {
        this.seconds = seconds;
        requests.forEach(this::add);
    }

    /** Counts of an account per second: tokens requested, tokens whose response started, and late requests. */
    private record Account(long[] requested, long[] served, int[] late) {}

    /**
     * A window in each second of which an account had requests over the latency target.
     *
     * @param account the account
     * @param from the first second of the window
     * @param share the served tokens as a share of the account's demand or of the best served account's tokens,
     *     whichever is less
     */
    record Backlog(String account, int from, double share) {}

    private void add(SimulatedFleet.Request request) {
        Account account = accounts.computeIfAbsent(
                request.account(), name -> new Account(new long[seconds], new long[seconds], new int[seconds]));
        int arrived = (int) (request.arrivedAt() / MILLISECONDS);
        if (arrived < seconds) {
            account.requested[arrived] += request.prompt().cost();
            account.late[arrived] += request.startedAt() - request.arrivedAt() <= LATENCY_TARGET_MILLISECONDS ? 0 : 1;
        }
        int started = Double.isInfinite(request.startedAt()) ? seconds : (int) (request.startedAt() / MILLISECONDS);
        if (started < seconds) {
            account.served[started] += request.prompt().cost();
        }
    }

    /** Returns all windows in which an account was backlogged throughout. */
    Stream<Backlog> backlogs() {
        return IntStream.rangeClosed(0, seconds - WINDOW_SECONDS).boxed().flatMap(from -> accounts.entrySet().stream()
                .filter(entry -> window(from).allMatch(second -> entry.getValue().late[second] > 0))
                .map(entry -> new Backlog(entry.getKey(), from, share(entry.getValue(), from))));
    }

    private double share(Account account, int from) {
        long fairTokens = window(from)
                .mapToLong(second -> Math.min(account.requested[second], best(accounts.values(), second)))
                .sum();
        return (double) window(from).mapToLong(second -> account.served[second]).sum() / fairTokens;
    }

    private static long best(Collection<Account> accounts, int second) {
        return accounts.stream()
                .mapToLong(account -> account.served[second])
                .max()
                .orElse(0);
    }

    private static IntStream window(int from) {
        return IntStream.range(from, from + WINDOW_SECONDS);
    }
}

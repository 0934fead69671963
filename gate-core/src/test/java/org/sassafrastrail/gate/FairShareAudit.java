package org.sassafrastrail.gate;

import java.util.Collection;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.IntStream;
import java.util.stream.Stream;

/** Compares, second by second, what each account got with what it asked for and with what the best served account got. */
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

    /** An account's seconds: tokens asked for by arrival, tokens got by beginning, requests not served in time. */
    private record Account(long[] requested, long[] served, int[] late) {}

    /**
     * An account that had to wait in each second of a window.
     *
     * @param account the account
     * @param from the first second of the window
     * @param share what it got, as a share of what it asked for or the best served got, whichever is less
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

    /** All accounts and windows in which the account waited all through. */
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

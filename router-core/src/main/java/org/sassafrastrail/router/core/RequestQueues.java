package org.sassafrastrail.router.core;

import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;

import org.pcollections.HashTreePMap;
import org.pcollections.PMap;
import org.pcollections.PVector;
import org.pcollections.TreePVector;
import org.sassafrastrail.fairness.LedgerKey;
import org.sassafrastrail.model.AccountName;
import org.sassafrastrail.model.NodeName;
import org.sassafrastrail.model.RequestIdentifier;
import org.sassafrastrail.model.TargetName;

/** The waiting requests, oldest first, in one queue for each client account and model or service. */
public final class RequestQueues {

    /** More waiting requests than these tell a sidecar nothing more. */
    static final int MOST_TOLD = 64;

    static final RequestQueues EMPTY = new RequestQueues(HashTreePMap.empty());

    private final PMap<LedgerKey, PVector<WaitingRequest>> queues;

    private RequestQueues(PMap<LedgerKey, PVector<WaitingRequest>> queues) {
        this.queues = queues;
    }

    /**
     * Counts all waiting requests.
     *
     * @return their number
     */
    public int size() {
        return queues.values().stream().mapToInt(PVector::size).sum();
    }

    /**
     * Counts the waiting requests of a client account.
     *
     * @param account the account
     * @return their number
     */
    public int size(AccountName account) {
        return queues.entrySet().stream()
                .filter(queue -> queue.getKey().account().equals(account))
                .mapToInt(queue -> queue.getValue().size())
                .sum();
    }

    RequestQueues plus(WaitingRequest waiting) {
        return with(waiting.request().queue(), queue(waiting.request().queue()).plus(waiting));
    }

    /** Puts a request that was tried back in front of the younger ones. */
    RequestQueues plusTried(WaitingRequest waiting) {
        LedgerKey key = waiting.request().queue();
        PVector<WaitingRequest> queue = queue(key);
        long older = queue.stream()
                .takeWhile(other ->
                        other.request().arrivedAt().isBefore(waiting.request().arrivedAt()))
                .count();
        return with(key, queue.plus((int) older, waiting));
    }

    RequestQueues minus(WaitingRequest waiting) {
        LedgerKey key = waiting.request().queue();
        return with(key, queue(key).minus(waiting));
    }

    Optional<WaitingRequest> oldest(LedgerKey key, NodeName sidecar, Instant now) {
        return queue(key).stream()
                .filter(waiting -> waiting.suits(sidecar, now))
                .findFirst();
    }

    /** Counts what waits for a sidecar, but no further than it is any use to the sidecar. */
    int waiting(LedgerKey key, NodeName sidecar, Instant now) {
        return (int) queue(key).stream()
                .filter(waiting -> waiting.suits(sidecar, now))
                .limit(MOST_TOLD)
                .count();
    }

    Optional<WaitingRequest> find(RequestIdentifier identifier) {
        return all().filter(waiting -> waiting.request().identifier().equals(identifier))
                .findFirst();
    }

    List<WaitingRequest> late(Instant now) {
        return all().filter(waiting -> waiting.isLate(now)).toList();
    }

    List<LedgerKey> keys(TargetName target) {
        return queues.keySet().stream()
                .filter(key -> key.target().equals(target))
                .toList();
    }

    private Stream<WaitingRequest> all() {
        return queues.values().stream().flatMap(PVector::stream);
    }

    private PVector<WaitingRequest> queue(LedgerKey key) {
        return queues.getOrDefault(key, TreePVector.empty());
    }

    private RequestQueues with(LedgerKey key, PVector<WaitingRequest> queue) {
        return new RequestQueues(queue.isEmpty() ? queues.minus(key) : queues.plus(key, queue));
    }
}

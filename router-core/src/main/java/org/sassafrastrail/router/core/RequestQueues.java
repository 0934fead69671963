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

/** Queued requests, oldest first, in one queue for each client account and model or service. Immutable. */
public final class RequestQueues {

    /** Maximum number of queued requests reported to a sidecar, which has no use for a higher count. */
    static final int MAX_REPORTED = 64;

    static final RequestQueues EMPTY = new RequestQueues(HashTreePMap.empty());

    private final PMap<LedgerKey, PVector<QueuedRequest>> queues;

    private RequestQueues(PMap<LedgerKey, PVector<QueuedRequest>> queues) {
        this.queues = queues;
    }

    /**
     * Returns the number of queued requests.
     *
     * @return the number of requests in all queues
     */
    public int size() {
        return queues.values().stream().mapToInt(PVector::size).sum();
    }

    /**
     * Returns the number of queued requests of a client account.
     *
     * @param account the client account
     * @return the number of requests in the queues of the account
     */
    public int size(AccountName account) {
        return queues.entrySet().stream()
                .filter(queue -> queue.getKey().account().equals(account))
                .mapToInt(queue -> queue.getValue().size())
                .sum();
    }

    RequestQueues plus(QueuedRequest queued) {
        return with(
                queued.request().queueKey(), queue(queued.request().queueKey()).plus(queued));
    }

    /** Queues a request again after an attempt, in its original order of arrival. */
    RequestQueues requeue(QueuedRequest queued) {
        LedgerKey key = queued.request().queueKey();
        PVector<QueuedRequest> queue = queue(key);
        long older = queue.stream()
                .takeWhile(other ->
                        other.request().arrivedAt().isBefore(queued.request().arrivedAt()))
                .count();
        return with(key, queue.plus((int) older, queued));
    }

    RequestQueues minus(QueuedRequest queued) {
        LedgerKey key = queued.request().queueKey();
        return with(key, queue(key).minus(queued));
    }

    Optional<QueuedRequest> oldestEligible(LedgerKey key, NodeName sidecar, Instant now) {
        return queue(key).stream()
                .filter(queued -> queued.isEligibleFor(sidecar, now))
                .findFirst();
    }

    /** Returns the number of queued requests that a sidecar may run now, limited to {@link #MAX_REPORTED}. */
    int countEligible(LedgerKey key, NodeName sidecar, Instant now) {
        return (int) queue(key).stream()
                .filter(queued -> queued.isEligibleFor(sidecar, now))
                .limit(MAX_REPORTED)
                .count();
    }

    Optional<QueuedRequest> find(RequestIdentifier identifier) {
        return all().filter(queued -> queued.request().identifier().equals(identifier))
                .findFirst();
    }

    List<QueuedRequest> expired(Instant now) {
        return all().filter(queued -> queued.isExpired(now)).toList();
    }

    List<LedgerKey> keys(TargetName target) {
        return queues.keySet().stream()
                .filter(key -> key.target().equals(target))
                .toList();
    }

    private Stream<QueuedRequest> all() {
        return queues.values().stream().flatMap(PVector::stream);
    }

    private PVector<QueuedRequest> queue(LedgerKey key) {
        return queues.getOrDefault(key, TreePVector.empty());
    }

    private RequestQueues with(LedgerKey key, PVector<QueuedRequest> queue) {
        return new RequestQueues(queue.isEmpty() ? queues.minus(key) : queues.plus(key, queue));
    }
}

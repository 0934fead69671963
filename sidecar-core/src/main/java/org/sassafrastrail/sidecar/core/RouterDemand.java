package org.sassafrastrail.sidecar.core;

import java.time.Instant;
import java.util.List;

import org.pcollections.HashTreePMap;
import org.pcollections.PMap;
import org.sassafrastrail.messages.AccountDemand;
import org.sassafrastrail.model.AccountName;

/**
 * The queued requests that a linked router reported.
 *
 * @param link the number of the link, which distinguishes successive links to the same router
 * @param accounts the backlog of each account with queued requests
 */
public record RouterDemand(long link, PMap<AccountName, Backlog> accounts) {

    /**
     * The queued requests of one account at one router.
     *
     * @param waiting the number of queued requests
     * @param oldestHint the cost hint of the oldest request in tokens, 0 for none
     * @param oldestArrivedAt when the oldest request arrived
     */
    public record Backlog(int waiting, long oldestHint, Instant oldestArrivedAt) {

        Backlog minusOne() {
            return new Backlog(waiting - 1, oldestHint, oldestArrivedAt);
        }
    }

    static RouterDemand none(long link) {
        return new RouterDemand(link, HashTreePMap.empty());
    }

    RouterDemand plus(List<AccountDemand> changes, Instant now) {
        return changes.stream().reduce(this, (demand, change) -> demand.plus(change, now), (first, second) -> second);
    }

    RouterDemand minusOne(AccountName account) {
        Backlog backlog = accounts.get(account);
        return backlog == null || backlog.waiting() <= 1
                ? minus(account)
                : new RouterDemand(link, accounts.plus(account, backlog.minusOne()));
    }

    RouterDemand minus(AccountName account) {
        return new RouterDemand(link, accounts.minus(account));
    }

    private RouterDemand plus(AccountDemand change, Instant now) {
        Backlog backlog = new Backlog(
                change.queuedRequests(), change.oldestHint(), now.minusMillis(change.oldestWaitMilliseconds()));
        return change.queuedRequests() == 0
                ? minus(change.account())
                : new RouterDemand(link, accounts.plus(change.account(), backlog));
    }
}

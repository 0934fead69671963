package org.sassafrastrail.sidecar.core;

import java.time.Instant;
import java.util.List;

import org.pcollections.HashTreePMap;
import org.pcollections.PMap;
import org.sassafrastrail.messages.AccountDemand;
import org.sassafrastrail.model.AccountName;

/**
 * What a router said that waits there.
 *
 * @param link tells the links to one router apart
 * @param accounts what waits, by account
 */
public record RouterDemand(long link, PMap<AccountName, Backlog> accounts) {

    /**
     * What one account has waiting.
     *
     * @param waiting how many requests
     * @param hint the cost hint of the oldest one in tokens
     * @param since since when the oldest one waits
     */
    public record Backlog(int waiting, long hint, Instant since) {

        Backlog less() {
            return new Backlog(waiting - 1, hint, since);
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
                : new RouterDemand(link, accounts.plus(account, backlog.less()));
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

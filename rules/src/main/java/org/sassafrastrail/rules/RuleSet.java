package org.sassafrastrail.rules;

import java.util.List;
import java.util.Optional;
import java.util.function.Function;
import java.util.stream.Collectors;
import java.util.stream.Stream;

import org.pcollections.HashTreePMap;
import org.pcollections.PMap;
import org.sassafrastrail.model.AccountName;
import org.sassafrastrail.model.FailureDomainName;
import org.sassafrastrail.model.TargetName;

/** The validated rules of one rule file, indexed by name. */
public final class RuleSet {

    /** A rule set without rules. */
    public static final RuleSet EMPTY = new RuleSet(List.of());

    private final List<Rule> rules;
    private final PMap<AccountName, AccountRule> accounts;
    private final PMap<KeyDigest, AccountRule> keys;
    private final PMap<TargetName, TargetRule> targets;
    private final PMap<FailureDomainName, FailureDomainRule> domains;
    private final PMap<TargetName, MoveRule> moves;

    RuleSet(List<Rule> rules) {
        this.rules = List.copyOf(rules);
        this.accounts = index(AccountRule.class, AccountRule::name);
        this.keys = index(AccountRule.class, AccountRule::key);
        this.targets = index(TargetRule.class, TargetRule::name);
        this.domains = index(FailureDomainRule.class, FailureDomainRule::name);
        this.moves = index(MoveRule.class, rule -> rule.move().target());
    }

    private <R extends Rule, K> PMap<K, R> index(Class<R> type, Function<R, K> key) {
        return HashTreePMap.from(
                rulesOf(type).collect(Collectors.toMap(key, Function.identity(), (first, second) -> second)));
    }

    private <R extends Rule> Stream<R> rulesOf(Class<R> type) {
        return rules.stream().filter(type::isInstance).map(type::cast);
    }

    /**
     * Returns all rules.
     *
     * @return the rules, in the order of the file
     */
    public List<Rule> rules() {
        return rules;
    }

    /**
     * Finds a client account by name.
     *
     * @param name the account
     * @return its rule, if there is one
     */
    public Optional<AccountRule> account(AccountName name) {
        return Optional.ofNullable(accounts.get(name));
    }

    /**
     * Finds a client account by the digest of its key.
     *
     * @param key the digest
     * @return its rule, if there is one
     */
    public Optional<AccountRule> accountByKey(KeyDigest key) {
        return Optional.ofNullable(keys.get(key));
    }

    /**
     * Finds a model or service.
     *
     * @param name the model or service
     * @return its rule, if there is one
     */
    public Optional<TargetRule> target(TargetName name) {
        return Optional.ofNullable(targets.get(name));
    }

    /**
     * Finds the move of a model or service.
     *
     * @param target the model or service
     * @return the rule of its move, if there is one
     */
    public Optional<MoveRule> move(TargetName target) {
        return Optional.ofNullable(moves.get(target));
    }

    /**
     * Returns all moves.
     *
     * @return the rules of the moves
     */
    public List<MoveRule> moves() {
        return rulesOf(MoveRule.class).toList();
    }

    /**
     * Returns the failure domains that are out of service.
     *
     * @return their names, sorted
     */
    public List<FailureDomainName> domainsOutOfService() {
        return rulesOf(FailureDomainRule.class)
                .filter(rule -> !rule.inService())
                .map(FailureDomainRule::name)
                .sorted()
                .toList();
    }

    /**
     * Returns whether upstreams of a failure domain may receive new requests. Those of a domain without a rule may not.
     *
     * @param name the failure domain
     * @return whether it is in service
     */
    public boolean isInService(FailureDomainName name) {
        return domains.containsKey(name) && domains.get(name).inService();
    }
}

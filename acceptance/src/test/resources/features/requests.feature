Feature: A request is bound to an upstream when that upstream can run it

  Scenario: A request is queued, granted, dispatched and answered
    Given 1 router and these sidecars
      | sidecar-1 | north |
    And calls that may be repeated
    When guest asks router 1 for 20 tokens
    And 300 ms pass
    Then every request ended as "finished"
    And the session reads as request-answered

  Scenario: Two accounts share one place by weight
    Given 1 router and these sidecars
      | sidecar-1 | north |
    And calls that may be repeated
    When guest asks router 1 for 20 tokens
    And kitchen asks router 1 for 20 tokens
    And guest asks router 1 for 20 tokens
    And kitchen asks router 1 for 20 tokens
    And 1000 ms pass
    Then every request ended as "finished"
    And the session reads as two-accounts

  Scenario: A failure domain goes out while its upstream runs a request
    Given 1 router and these sidecars
      | sidecar-1 | north |
      | sidecar-2 | south |
    And calls that may be repeated
    When guest asks router 1 for 40 tokens
    And 20 ms pass
    And operators take failure domain north out
    And 20 ms pass
    And guest asks router 1 for 20 tokens
    And 600 ms pass
    Then every request ended as "finished"
    And the session reads as failure-domain-out

  Scenario: Nobody may run a request, so it is refused as not run
    Given 1 router and these sidecars
      | sidecar-1 | north |
    And calls that may be repeated
    When operators take failure domain north out
    And 100 ms pass
    And guest asks router 1 for 20 tokens
    And 7000 ms pass
    Then every request ended as "refused DEADLINE_EXCEEDED"
    And the session reads as refused-at-deadline

  Scenario: An upstream falls over and the request is run elsewhere
    Given 1 router and these sidecars
      | sidecar-1 | north |
      | sidecar-2 | south |
    And calls that may be repeated
    When guest asks router 1 for 20 tokens
    And 20 ms pass
    And the upstream of sidecar 1 falls over
    And the upstream of sidecar 2 falls over
    And 4000 ms pass
    Then every request ended as "finished"
    And the session reads as retried-after-upstream-crash

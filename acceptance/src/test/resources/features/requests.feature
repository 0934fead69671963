Feature: A request is assigned to an upstream only when that upstream can run it

  Scenario: A request is queued, granted, dispatched and completed
    Given 1 router and these sidecars
      | sidecar-1 | north |
    And idempotent calls
    When guest sends router 1 a request for 20 tokens
    And 300 ms pass
    Then every request ended as "finished"
    And the transcript matches request-answered

  Scenario: Two accounts share one slot by weight
    Given 1 router and these sidecars
      | sidecar-1 | north |
    And idempotent calls
    When guest sends router 1 a request for 20 tokens
    And kitchen sends router 1 a request for 20 tokens
    And guest sends router 1 a request for 20 tokens
    And kitchen sends router 1 a request for 20 tokens
    And 1000 ms pass
    Then every request ended as "finished"
    And the transcript matches two-accounts

  Scenario: A failure domain goes out of service while its upstream runs a request
    Given 1 router and these sidecars
      | sidecar-1 | north |
      | sidecar-2 | south |
    And idempotent calls
    When guest sends router 1 a request for 40 tokens
    And 20 ms pass
    And operators take failure domain north out of service
    And 20 ms pass
    And guest sends router 1 a request for 20 tokens
    And 600 ms pass
    Then every request ended as "finished"
    And the transcript matches failure-domain-out

  Scenario: A request that no upstream may run is refused at its deadline
    Given 1 router and these sidecars
      | sidecar-1 | north |
    And idempotent calls
    When operators take failure domain north out of service
    And 100 ms pass
    And guest sends router 1 a request for 20 tokens
    And 7000 ms pass
    Then every request ended as "refused DEADLINE_EXCEEDED"
    And the transcript matches refused-at-deadline

  Scenario: Upstreams crash and the request is retried at another upstream
    Given 1 router and these sidecars
      | sidecar-1 | north |
      | sidecar-2 | south |
    And idempotent calls
    When guest sends router 1 a request for 20 tokens
    And 20 ms pass
    And the upstream of sidecar 1 crashes
    And the upstream of sidecar 2 crashes
    And 4000 ms pass
    Then every request ended as "finished"
    And the transcript matches retried-after-upstream-crash

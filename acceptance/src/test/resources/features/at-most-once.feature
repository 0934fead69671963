Feature: A non-idempotent request runs at most once

  Scenario: The link is cut after the dispatch and the sidecar reports the attempt when it reconnects
    Given 1 router and these sidecars
      | sidecar-1 | north |
    And non-idempotent calls
    When guest sends router 1 a request for 20 tokens
    And 10 ms pass
    And the link between router 1 and sidecar 1 is cut
    And 4000 ms pass
    And the link between router 1 and sidecar 1 is restored
    And 6000 ms pass
    Then every request ended as "unknown SIDECAR_SILENT"
    And the transcript matches link-cut-after-dispatch

  Scenario: The sidecar restarts and has no record of attempts of its previous incarnation
    Given 1 router and these sidecars
      | sidecar-1 | north |
    And non-idempotent calls
    When guest sends router 1 a request for 20 tokens
    And 10 ms pass
    And sidecar 1 restarts with empty memory
    And 1000 ms pass
    Then every request ended as "unknown SIDECAR_RESTARTED"
    And the transcript matches sidecar-restarted

  Scenario: The upstream crashes after it has begun the request
    Given 1 router and these sidecars
      | sidecar-1 | north |
    And non-idempotent calls
    When guest sends router 1 a request for 20 tokens
    And 10 ms pass
    And the upstream of sidecar 1 crashes
    And 1000 ms pass
    Then every request ended as "unknown UPSTREAM_CONNECTION_LOST"
    And the transcript matches upstream-crashed

  Scenario: A dispatch reaches a frozen sidecar and its grant has expired when the sidecar thaws
    Given 1 router and these sidecars
      | sidecar-1 | north |
    And non-idempotent calls
    When guest sends router 1 a request for 20 tokens
    And 3 ms pass
    And sidecar 1 freezes
    And 2500 ms pass
    And sidecar 1 thaws
    And 1500 ms pass
    Then every request ended as "finished"
    And the transcript matches dispatch-to-frozen-sidecar

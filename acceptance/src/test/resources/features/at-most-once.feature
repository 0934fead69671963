Feature: A request that may not be repeated runs at most once

  Scenario: The link breaks after the dispatch and the sidecar tells what became of it
    Given 1 router and these sidecars
      | sidecar-1 | north |
    And calls that may not be repeated
    When guest asks router 1 for 20 tokens
    And 10 ms pass
    And the link between router 1 and sidecar 1 is cut
    And 4000 ms pass
    And the link between router 1 and sidecar 1 is back
    And 6000 ms pass
    Then every request ended as "unknown SIDECAR_SILENT"
    And the session reads as link-cut-after-dispatch

  Scenario: The sidecar restarts and can't know what its earlier life began
    Given 1 router and these sidecars
      | sidecar-1 | north |
    And calls that may not be repeated
    When guest asks router 1 for 20 tokens
    And 10 ms pass
    And sidecar 1 restarts with empty memory
    And 1000 ms pass
    Then every request ended as "unknown SIDECAR_RESTARTED"
    And the session reads as sidecar-restarted

  Scenario: The upstream falls over after it began
    Given 1 router and these sidecars
      | sidecar-1 | north |
    And calls that may not be repeated
    When guest asks router 1 for 20 tokens
    And 10 ms pass
    And the upstream of sidecar 1 falls over
    And 1000 ms pass
    Then every request ended as "unknown UPSTREAM_CONNECTION_LOST"
    And the session reads as upstream-crashed

  Scenario: A dispatch reaches a frozen sidecar and its grant has expired when it thaws
    Given 1 router and these sidecars
      | sidecar-1 | north |
    And calls that may not be repeated
    When guest asks router 1 for 20 tokens
    And 3 ms pass
    And sidecar 1 freezes
    And 2500 ms pass
    And sidecar 1 thaws
    And 1500 ms pass
    Then every request ended as "finished"
    And the session reads as dispatch-to-frozen-sidecar

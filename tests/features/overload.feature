@slow_engines
Feature: Excess load is refused early, lowest priority class first

  Scenario: Load many times the capacity of the engines
    When callers exceed the capacity of the engines many times over
    Then the high class meets its latency target and is refused less than the low class
    And every refusal stated when to retry
    And the history has no violation

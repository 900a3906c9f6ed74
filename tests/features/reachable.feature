Feature: Every deployed model stays reachable

  Scenario: An engine crashes
    Given calls are sent continuously
    When engine "x-engine0" is killed
    Then every model is ready again
    And no engine was ever overcommitted
    And the history has no violation

  Scenario: The platform is unavailable for a time
    Given calls are sent continuously
    When the platform is unavailable for 6 seconds
    Then every stream was completed
    And the history has no violation

  Scenario: A configuration that exceeds memory is refused with the shortfall in bytes
    When a configuration is applied that does not fit
    Then it is refused with the shortfall in bytes

  Scenario: A model whose size differs from the weight store is refused
    When a model is applied whose weights are smaller than in the weight store
    Then it is refused with the size in the weight store

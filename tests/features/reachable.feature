Feature: Every deployed model stays reachable

  Scenario: An engine dies
    Given calls run all the while
    When engine "x-engine0" is killed
    Then every model is ready again
    And no engine was ever overcommitted
    And the history holds no fault

  Scenario: The platform is down for a while
    Given calls run all the while
    When the platform is down for 6 seconds
    Then every stream was completed
    And the history holds no fault

  Scenario: More models than fit are refused with the shortfall in bytes
    When a configuration is applied that does not fit
    Then it is refused with the shortfall in bytes

  Scenario: A model of another size than the weight store has is refused
    When a model is applied whose weights are smaller than the weight store's
    Then it is refused with the size that the store has

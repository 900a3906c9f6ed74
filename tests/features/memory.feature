@unfenced
Feature: Accelerator memory is never overcommitted, with engines that check no fence

  Scenario: The leading placer is frozen past its lease and wakes
    Given calls run all the while
    When the leading placer of "x" is frozen, models change versions, and it wakes
    Then no engine was ever overcommitted
    And every model is ready again
    And the history holds no fault

  Scenario: Orders are lost, late and doubled while versions change
    Given calls run all the while
    When orders to every engine go wrong while models change versions
    Then no engine was ever overcommitted
    And every model is ready again
    And the history holds no fault

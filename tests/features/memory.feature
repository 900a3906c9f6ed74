@unfenced
Feature: Accelerator memory is never overcommitted, even by engines without fencing

  Scenario: The leading placer is suspended beyond its lease and resumes
    Given calls are sent continuously
    When the leading placer of "x" is suspended, models change versions, and it resumes
    Then no engine was ever overcommitted
    And every model is ready again
    And the history has no violation

  Scenario: Orders are lost, delayed and duplicated while versions change
    Given calls are sent continuously
    When orders to every engine are lost, delayed and duplicated while models change versions
    Then no engine was ever overcommitted
    And every model is ready again
    And the history has no violation

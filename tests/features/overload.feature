@slow_engines
Feature: Overload is refused at once, the lowest class first

  Scenario: Many times what the engines can take
    When callers ask for far more than the engines can take
    Then the high class keeps its target and is refused less than the low class
    And refused calls were told at once when to come back
    And the history holds no fault

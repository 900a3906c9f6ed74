Feature: Told not run means not run, and a key runs at most once

  Scenario: Entry processes are killed at random under load
    Given calls run all the while
    When entry processes are killed and replaced 4 times
    Then the history holds no fault

  Scenario: Plain services drop connections before, during and after the call
    Given calls run all the while
    When plain services drop connections for a while
    Then the history holds no fault

  Scenario: The table service loses answers and goes down
    Given calls run all the while
    When the table service loses answers and goes down for a while
    Then the history holds no fault

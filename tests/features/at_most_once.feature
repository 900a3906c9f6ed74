Feature: A call reported as not run did not run, and a key runs at most once

  Scenario: Entry processes are killed at random under load
    Given calls are sent continuously
    When entry processes are killed and replaced 4 times
    Then the history has no violation

  Scenario: Plain services drop connections before, during and after the call
    Given calls are sent continuously
    When plain services drop connections for a time
    Then the history has no violation

  Scenario: The table service loses answers and goes down
    Given calls are sent continuously
    When the table service loses responses and becomes unavailable for a time
    Then the history has no violation

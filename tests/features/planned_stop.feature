Feature: A graceful stop interrupts no request in flight

  Scenario: Every instance is stopped and replaced in turn under load
    Given calls are sent continuously
    When every instance is stopped gracefully and replaced in turn
    Then no call was dropped or refused a connection
    And every exit code was 0
    And the history has no violation

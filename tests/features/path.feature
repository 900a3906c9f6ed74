Feature: A request goes from a caller to an upstream and back

  Scenario: A stream is the caller's own, token by token
    When 30 callers stream answers at one time
    Then every answer is whole and the caller's own

  Scenario: A booking and its repeat at another instance run once
    When a booking is sent to "x-0" and again to "y-0" with the same key
    Then both get the same answer and the booking ran once

  Scenario: A policy is swapped on live traffic
    When the routing policy is swapped to "turns" while 30 callers stream
    Then every answer is whole and the caller's own
    And no call was refused

  Scenario: Two policies are compared on divided traffic
    When the routing traffic is divided between "turns" and "least"
    And 60 callers stream answers at one time
    Then the comparison shows requests of both policies with an interval

  Scenario: A decision is explained by request id
    When a caller streams an answer
    Then its routing decision can be explained from another data centre

  Scenario: Operators and programs see the status
    Then the status shows every process at the revision in force
    And no process has an io_uring descriptor

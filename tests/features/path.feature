Feature: Requests are served by upstreams

  Scenario: Every streamed token belongs to its call
    When 30 callers stream responses concurrently
    Then every response is complete and belongs to its call

  Scenario: A booking retried at another instance runs once
    When a booking is sent to "x-0" and again to "y-0" with the same key
    Then both get the same response and the booking ran once

  Scenario: A policy is swapped on live traffic
    When the routing policy is swapped to "turns" while 30 callers stream
    Then every response is complete and belongs to its call
    And no call was refused

  Scenario: Two policies are compared on split traffic
    When the routing traffic is split between "turns" and "least"
    And 60 callers stream responses concurrently
    Then the comparison shows requests of both policies with confidence intervals

  Scenario: A decision is explained by request id
    When a caller requests a completion
    Then its routing decision can be explained from another data centre

  Scenario: Operators see the status of all processes
    Then the status shows every process as reached
    And no process has an io_uring descriptor

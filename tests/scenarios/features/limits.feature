Feature: Queues, limits and bad endpoints

  Scenario: A burst beyond the queue is refused as not run, the rest ends
    Given a contract with a queue of 100 and 20 ms tasks
    When 300 lookups are sent to entry-1 at once
    Then every lookup is answered, as ran or as not_run with Retry-After
    And at least one lookup was refused

  Scenario: A wave of cancellations starts nothing that was cancelled
    Given a zone with 1 entry VMs and 1 endpoints
    When a job "wave" of 1700 tasks of 200 ms is sent to entry-1
    And 8 tasks of "wave" have started
    And "wave" is cancelled at entry-1
    Then "wave" is marked failed with 1700 verdicts
    And at most 400 tasks of "wave" have started in all

  Scenario: No more tasks than the holding limit are at endpoints at once
    Given a contract that holds 5 tasks at 2 entry VMs
    When a job "left" of 60 tasks of 50 ms is sent to entry-1
    And a job "right" of 60 tasks of 50 ms is sent to entry-2
    Then "left" is complete with 60 answers
    And "right" is complete with 60 answers
    And at most 5 tasks were at endpoints at once

  Scenario: An endpoint that fails every task at once does not draw the traffic
    Given a zone with 1 entry VMs and 4 endpoints
    When the endpoint endpoint-1 shows the fault fail
    And 200 lookups of 10 ms are sent to entry-1
    Then the endpoint endpoint-1 has started at most 40 tasks

  Scenario: Another customer's credential sees nothing of a request
    Given a zone with 1 entry VMs and 1 endpoints
    When a stamping "stamp" of 50 ms is sent to entry-1
    Then "stamp" is answered with 200 and ran
    And a request for "stamp" with a wrong credential gives 401

Feature: Queues, limits and failing endpoints

  Scenario: Requests beyond the queue limit are refused as not run, the others are answered
    Given a contract with a queue of 100 and 20 ms tasks
    When 300 lookups are sent to entry-1 at once
    Then every lookup has the verdict ran, or not_run with retry_after_s
    And at least one lookup was refused

  Scenario: Queued tasks of a cancelled job do not start
    Given a zone with 1 entry VMs and 1 endpoints
    When a job "wave" of 1700 tasks of 200 ms is sent to entry-1
    And at least 8 tasks of "wave" have started
    And "wave" is cancelled at entry-1
    Then "wave" has failed and has 1700 verdicts
    And at most 400 tasks of "wave" have started

  Scenario: Tasks at endpoints never exceed the hold limit
    Given a contract with a hold limit of 5 tasks and 2 entry VMs
    When a job "left" of 60 tasks of 50 ms is sent to entry-1
    And a job "right" of 60 tasks of 50 ms is sent to entry-2
    Then "left" is complete and all 60 tasks ran
    And "right" is complete and all 60 tasks ran
    And at most 5 tasks were at endpoints at the same time

  Scenario: An endpoint that fails every task immediately does not attract traffic
    Given a zone with 1 entry VMs and 4 endpoints
    When the endpoint endpoint-1 has the fault mode fail
    And 200 lookups of 10 ms are sent to entry-1
    Then the endpoint endpoint-1 has started at most 40 tasks

  Scenario: A request is not visible with another credential
    Given a zone with 1 entry VMs and 1 endpoints
    When a stamping "stamp" of 50 ms is sent to entry-1
    Then the reply to "stamp" has status 200 and verdict ran
    And a status query for "stamp" with a wrong credential returns 401

Feature: Endpoints, entry VMs and the platform that crash or freeze

  Scenario: Tasks at a killed endpoint get the verdict "may have run" and fail their job
    Given a zone with 1 entry VMs and 2 endpoints
    When a job "cuts" of 40 tasks of 500 ms is sent to entry-1
    And at least 12 tasks of "cuts" have started
    And the process of endpoint-1 is killed
    Then "cuts" has failed and has 40 verdicts
    And some tasks of "cuts" have the verdict may_have_run

  Scenario: A request that times out at a frozen endpoint is not started again
    Given a zone with 1 entry VMs and 1 endpoints
    When the process of endpoint-1 is frozen
    And a stamping "stamp" of 50 ms with a deadline of 1500 ms is sent to entry-1
    Then the reply to "stamp" has status 504 and verdict may_have_run
    When the process of endpoint-1 is resumed
    Then repeated status queries for "stamp" at entry-1 return may_have_run

  Scenario: The slots of an entry VM killed during a platform outage are taken over
    Given a zone with 2 entry VMs and 2 endpoints
    When the platform is down
    And a job "first" of 60 tasks of 300 ms is sent to entry-1
    And at least 5 tasks of "first" have started
    And entry-1 is killed
    And "first" is sent again to entry-2
    Then the reply to "first" has status 503 and verdict may_have_run
    When a job "second" of 40 tasks of 50 ms is sent to entry-2
    Then "second" is complete and all 40 tasks ran

  Scenario: Entry VMs continue to serve while the platform's process is frozen
    Given a zone with 2 entry VMs and 2 endpoints
    When the platform's process is frozen
    And a job "first" of 40 tasks of 50 ms is sent to entry-1
    And a stamping "stamp" of 50 ms is sent to entry-2
    Then "first" is complete and all 40 tasks ran
    And the reply to "stamp" has status 200 and verdict ran
    When the platform's process is resumed
    Then repeated status queries for "stamp" at entry-1 return ran

  Scenario: A job whose deadline passes in the queue reports which tasks did not run
    Given a zone with 1 entry VMs and 1 endpoints
    When a job "late" of 100 tasks of 300 ms with a deadline of 1500 ms is sent to entry-1
    Then "late" has failed and has 100 verdicts
    And some tasks of "late" have the verdict not_run

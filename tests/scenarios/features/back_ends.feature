Feature: Endpoints and entry VMs that die or freeze, alone and together

  Scenario: A killed endpoint leaves its tasks at "may have run", the job failed
    Given a zone with 1 entry VMs and 2 endpoints
    When a job "cuts" of 40 tasks of 500 ms is sent to entry-1
    And 12 tasks of "cuts" have started
    And the process of endpoint-1 is killed
    Then "cuts" is marked failed with 40 verdicts
    And some tasks of "cuts" have the verdict may_have_run

  Scenario: A frozen endpoint gives a time-out, and nothing starts again after it
    Given a zone with 1 entry VMs and 1 endpoints
    When the process of endpoint-1 is frozen
    And a stamping "stamp" of 50 ms with a deadline of 1500 ms is sent to entry-1
    Then "stamp" is answered with 504 and may_have_run
    When the process of endpoint-1 is resumed
    Then asking entry-1 about "stamp" gives may_have_run each time

  Scenario: An entry VM killed during an outage of the platform is taken over
    Given a zone with 2 entry VMs and 2 endpoints
    When the platform of the deployment is down
    And a job "first" of 60 tasks of 300 ms is sent to entry-1
    And 5 tasks of "first" have started
    And entry-1 is killed
    And "first" is sent again to entry-2
    Then "first" is answered with 503 and may_have_run
    When a job "second" of 40 tasks of 50 ms is sent to entry-2
    Then "second" is complete with 40 answers

  Scenario: Entry VMs serve on while the platform's process is frozen
    Given a zone with 2 entry VMs and 2 endpoints
    When the platform's process is frozen
    And a job "first" of 40 tasks of 50 ms is sent to entry-1
    And a stamping "stamp" of 50 ms is sent to entry-2
    Then "first" is complete with 40 answers
    And "stamp" is answered with 200 and ran
    When the platform's process is resumed
    Then asking entry-1 about "stamp" gives ran each time

  Scenario: A job whose deadline passes while it waits says what did not run
    Given a zone with 1 entry VMs and 1 endpoints
    When a job "late" of 100 tasks of 300 ms with a deadline of 1500 ms is sent to entry-1
    Then "late" is marked failed with 100 verdicts
    And some tasks of "late" have the verdict not_run

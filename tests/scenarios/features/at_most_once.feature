Feature: Each task of a job and each non-idempotent request starts at most once

  Scenario: A job that is sent with the same key to two entry VMs runs once
    Given a zone with 2 entry VMs and 2 endpoints
    When a job "reprints" of 40 tasks of 200 ms is sent to entry-1
    And at least 5 tasks of "reprints" have started
    And "reprints" is sent again to entry-2
    Then "reprints" is complete and all 40 tasks ran
    And exactly 40 tasks of "reprints" have started

  Scenario: The verdict "may have run" after an entry VM is killed does not change
    Given a zone with 2 entry VMs and 2 endpoints
    When a job "reprints" of 60 tasks of 300 ms is sent to entry-1
    And at least 5 tasks of "reprints" have started
    And entry-1 is killed
    And "reprints" is sent again to entry-2
    Then the reply to "reprints" has status 503 and verdict may_have_run
    And repeated status queries for "reprints" at entry-2 return may_have_run

  Scenario: A truncated response gives a stamping the verdict "may have run"
    Given a zone with 1 entry VMs and 2 endpoints
    When every endpoint has the fault mode cut
    And a stamping "stamp" of 50 ms is sent to entry-1
    Then the reply to "stamp" has status 502 and verdict may_have_run
    And repeated status queries for "stamp" at entry-1 return may_have_run
    And exactly 1 tasks of "stamp" have started

  Scenario: A lookup with a truncated response is retried at another endpoint
    Given a zone with 1 entry VMs and 2 endpoints
    When the endpoint endpoint-1 has the fault mode cut
    And a lookup "first" of 50 ms is sent to entry-1
    And a lookup "second" of 50 ms is sent to entry-1
    And a lookup "third" of 50 ms is sent to entry-1
    Then the reply to "first" has status 200 and verdict ran
    And the reply to "second" has status 200 and verdict ran
    And the reply to "third" has status 200 and verdict ran

  Scenario: One failed task fails the whole job
    Given a zone with 1 entry VMs and 2 endpoints
    When the endpoint endpoint-1 has the fault mode fail
    And a job "cuts" of 40 tasks of 50 ms is sent to entry-1
    Then "cuts" has failed and has 40 verdicts

  Scenario: A frozen entry VM that resumes starts no task twice
    Given a zone with 2 entry VMs and 2 endpoints
    When a job "reprints" of 60 tasks of 500 ms is sent to entry-1
    And at least 5 tasks of "reprints" have started
    And entry-1 is frozen
    And entry-2 owns all slots
    And "reprints" is sent again to entry-2
    And entry-1 is resumed
    Then "reprints" is complete and all 60 tasks ran

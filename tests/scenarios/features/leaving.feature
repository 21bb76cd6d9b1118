Feature: Leaving endpoints get no new work, and entry VMs shut down gracefully

  Scenario: A graceful shutdown completes requests in progress
    Given a zone with 2 entry VMs and 2 endpoints
    When a job "reprints" of 40 tasks of 300 ms is sent to entry-1
    And at least 5 tasks of "reprints" have started
    And entry-1 is asked to stop
    Then "reprints" is complete and all 40 tasks ran
    And entry-1 exits with status SUCCESS

  Scenario: A shutdown first ends readiness, then refuses new work as not run
    Given a zone with 1 entry VMs and 2 endpoints
    When a job "reprints" of 40 tasks of 500 ms is sent to entry-1
    And at least 5 tasks of "reprints" have started
    And entry-1 is asked to stop
    And entry-1 is no longer ready
    And a lookup "late" is refused by entry-1 with 503 and not_run
    Then "reprints" is complete and all 40 tasks ran
    And entry-1 exits with status SUCCESS

  Scenario: A leaving endpoint gets no new work after a few seconds
    Given a zone with 1 entry VMs and 2 endpoints
    When the endpoint endpoint-1 is listed as leaving
    # The entry VM reads the changed list within this time.
    And 5 seconds have passed
    And a job "reprints" of 40 tasks of 50 ms is sent to entry-1
    Then "reprints" is complete and all 40 tasks ran
    And the endpoint endpoint-1 has started no task of "reprints"

  Scenario: An endpoint that refuses during a platform outage is ejected
    Given a zone with 1 entry VMs and 3 endpoints
    When the platform is down
    And the endpoint endpoint-1 has the fault mode refuse
    And lookups of 50 ms are sent to entry-1 until it ejects endpoint-1
    And every lookup has run
    And a job "reprints" of 60 tasks of 50 ms is sent to entry-1
    Then "reprints" is complete and all 60 tasks ran

  Scenario: A lagging list sends no work to an endpoint that leaves and refuses
    Given a zone with 1 entry VMs and 3 endpoints
    When the platform's list lags by 60 seconds
    And the endpoint endpoint-1 is listed as leaving
    And the endpoint endpoint-1 has the fault mode refuse
    And lookups of 50 ms are sent to entry-1 until it ejects endpoint-1
    And every lookup has run
    And a job "reprints" of 60 tasks of 50 ms is sent to entry-1
    Then "reprints" is complete and all 60 tasks ran
    And the endpoint endpoint-1 has started no task of "reprints"

  Scenario: A job does not probe an endpoint that refused 2 seconds ago
    Given a zone with 1 entry VMs and 3 endpoints
    When the platform's list lags by 60 seconds
    And the endpoint endpoint-1 is listed as leaving
    And the endpoint endpoint-1 has the fault mode refuse
    And lookups of 50 ms are sent to entry-1 until it ejects endpoint-1
    And every lookup has run
    And 2 seconds have passed
    And a job "reprints" of 60 tasks of 50 ms is sent to entry-1
    Then "reprints" is complete and all 60 tasks ran
    And the endpoint endpoint-1 has started no task of "reprints"

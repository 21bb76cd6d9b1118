Feature: Leaving endpoints get no new work, and entry VMs that leave cut off nothing

  Scenario: A graceful shutdown ends no request in progress
    Given a zone with 2 entry VMs and 2 endpoints
    When a job "reprints" of 40 tasks of 300 ms is sent to entry-1
    And 5 tasks of "reprints" have started
    And entry-1 is asked to stop
    Then "reprints" is complete with 40 answers
    And entry-1 ends with the status SUCCESS

  Scenario: A shutdown turns readiness first and then refuses work as not run
    Given a zone with 1 entry VMs and 2 endpoints
    When a job "reprints" of 40 tasks of 500 ms is sent to entry-1
    And 5 tasks of "reprints" have started
    And entry-1 is asked to stop
    And entry-1 is not ready any more
    And a lookup "late" is refused by entry-1 with 503 and not_run
    Then "reprints" is complete with 40 answers
    And entry-1 ends with the status SUCCESS

  Scenario: A leaving endpoint gets no new work after a few seconds
    Given a zone with 1 entry VMs and 2 endpoints
    When the endpoint endpoint-1 is listed as leaving
    And 5 seconds have passed for the list to be read
    And a job "reprints" of 40 tasks of 50 ms is sent to entry-1
    Then "reprints" is complete with 40 answers
    And the endpoint endpoint-1 has started no task of "reprints"

  Scenario: An endpoint that refuses during an outage of the platform is set aside
    Given a zone with 1 entry VMs and 3 endpoints
    When the platform is down
    And the endpoint endpoint-1 shows the fault refuse
    And 8 lookups of 50 ms are sent to entry-1
    And every lookup has run
    And a job "reprints" of 60 tasks of 50 ms is sent to entry-1
    Then "reprints" is complete with 60 answers

  Scenario: A lagging list sends no work to an endpoint that leaves and refuses
    Given a zone with 1 entry VMs and 3 endpoints
    When the platform's list lags by 60 seconds
    And the endpoint endpoint-1 is listed as leaving
    And the endpoint endpoint-1 shows the fault refuse
    And 8 lookups of 50 ms are sent to entry-1
    And every lookup has run
    And a job "reprints" of 60 tasks of 50 ms is sent to entry-1
    Then "reprints" is complete with 60 answers
    And the endpoint endpoint-1 has started no task of "reprints"

  Scenario: A job does not probe an endpoint that refused a while ago
    Given a zone with 1 entry VMs and 3 endpoints
    When the platform's list lags by 60 seconds
    And the endpoint endpoint-1 is listed as leaving
    And the endpoint endpoint-1 shows the fault refuse
    And 8 lookups of 50 ms are sent to entry-1
    And every lookup has run
    And 2 seconds have passed for the list to be read
    And a job "reprints" of 60 tasks of 50 ms is sent to entry-1
    Then "reprints" is complete with 60 answers
    And the endpoint endpoint-1 has started no task of "reprints"

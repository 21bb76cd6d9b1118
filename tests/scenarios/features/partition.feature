Feature: A zone that is cut off goes on serving what it can

  Scenario: Two zones that are cut off from each other and the platform serve on
    Given 2 zones with 1 entry VMs and 1 endpoints each, peers behind relays
    When the relays are set to cut
    And the platform is set down
    And a job "north" of 20 tasks of 50 ms is sent to entry-1
    And a job "south" of 20 tasks of 50 ms is sent to entry-2
    Then "north" is complete with 20 answers
    And "south" is complete with 20 answers

  Scenario: A question about a key across a cut is not final, and is answered after it
    Given 2 zones with 1 entry VMs and 1 endpoints each, peers behind relays
    When a stamping "stamp" of 50 ms is sent to entry-1
    Then "stamp" is answered with 200 and ran
    When the relays are set to silent
    And "stamp" is sent again to entry-2
    Then "stamp" is answered with 503 and may_have_run
    And the verdict on "stamp" is not final
    When the relays are set to pass
    And entry-2 can reach its peers again
    And "stamp" is sent again to entry-2
    Then "stamp" is answered with 200 and ran
    And 1 tasks of "stamp" have started in all

  Scenario: Streams that go silent are replaced while a job is asked about
    Given 2 zones with 1 entry VMs and 1 endpoints each, peers behind relays
    When a job "reprints" of 30 tasks of 200 ms is sent to entry-1
    And 3 tasks of "reprints" have started
    And open relayed connections go silent
    And "reprints" is sent again to entry-2
    Then "reprints" is complete with 30 answers
    And 30 tasks of "reprints" have started in all

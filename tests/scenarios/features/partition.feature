Feature: Zones continue to serve during a network partition

  Scenario: Zones that are cut off from each other and the platform continue to serve
    Given 2 zones with 1 entry VMs and 1 endpoints each, peers behind relays
    When the relays are set to cut
    And the platform is down
    And a job "north" of 20 tasks of 50 ms is sent to entry-1
    And a job "south" of 20 tasks of 50 ms is sent to entry-2
    Then "north" is complete and all 20 tasks ran
    And "south" is complete and all 20 tasks ran

  Scenario: A repeated request gets no final verdict during a partition, but does after it
    Given 2 zones with 1 entry VMs and 1 endpoints each, peers behind relays
    When a stamping "stamp" of 50 ms is sent to entry-1
    Then the reply to "stamp" has status 200 and verdict ran
    When the relays are set to silent
    And "stamp" is sent again to entry-2
    Then the reply to "stamp" has status 503 and verdict may_have_run
    And the verdict on "stamp" is not final
    When the relays are set to pass
    And entry-2 can reach its peers again
    And "stamp" is sent again to entry-2
    Then the reply to "stamp" has status 200 and verdict ran
    And exactly 1 tasks of "stamp" have started

  Scenario: Silent peer streams are replaced while a job is queried
    Given 2 zones with 1 entry VMs and 1 endpoints each, peers behind relays
    When a job "reprints" of 30 tasks of 200 ms is sent to entry-1
    And at least 3 tasks of "reprints" have started
    And open relayed connections go silent
    And "reprints" is sent again to entry-2
    Then "reprints" is complete and all 30 tasks ran
    And exactly 30 tasks of "reprints" have started

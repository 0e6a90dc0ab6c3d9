"""Scripts with origins that answer twice, late: each response is compared with the origins' own records."""

from irisstand.dataplane.upstream import connection_history
from irisstand.simulator import origin_scripts

SEEDS = range(1, 401)


def test_stuttering_origins_give_each_client_its_own_whole_answer_and_no_old_copy():
    figures = origin_scripts.run_scripts(SEEDS, "stuttering")
    assert not figures.violations, figures.violations[:5]
    assert figures.answered > 35 * len(SEEDS)


def test_scripts_detect_mixed_and_stale_answers_where_ids_come_again_on_a_connection(monkeypatch):
    def may_carry(history, request_id):
        return not history.carried_count or bool(request_id)

    monkeypatch.setattr(connection_history.ConnectionHistory, "may_carry", may_carry)
    violations = origin_scripts.run_scripts(SEEDS, "stuttering").violations
    assert any("MIXED" in violation for violation in violations)
    assert any("STALE" in violation for violation in violations)
    assert any("came twice on one connection" in violation for violation in violations)

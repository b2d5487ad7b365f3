CREATE TABLE awards (
    id INTEGER PRIMARY KEY,
    scout_id INTEGER NOT NULL,
    badge TEXT NOT NULL,
    awarded_by TEXT NOT NULL,
    UNIQUE (scout_id, badge)
);
INSERT INTO awards (scout_id, badge, awarded_by) VALUES (2, 'First Aid', 'Leader Hoda Fathy');

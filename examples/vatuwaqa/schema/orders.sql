CREATE TABLE reservations (
    id INTEGER PRIMARY KEY,
    unit_id INTEGER NOT NULL UNIQUE,
    buyer TEXT NOT NULL,
    deposit_fjd INTEGER NOT NULL
);
CREATE TABLE deposits (
    reservation_id INTEGER NOT NULL,
    amount_fjd INTEGER NOT NULL,
    method TEXT NOT NULL
);
INSERT INTO reservations (id, unit_id, buyer, deposit_fjd) VALUES (1, 5, 'Namaka Takeaway, Nadi', 1500);
INSERT INTO deposits (reservation_id, amount_fjd, method) VALUES (1, 1500, 'bank transfer');
